"""Load-balancing decisions for services that call services, without any input or output of their own."""

from sandhatch.balancing.interface import ContractError, Settings, SettingsError
from sandhatch.balancing.policy.balancer import Balancer

__all__ = ["Balancer", "ContractError", "Settings", "SettingsError"]

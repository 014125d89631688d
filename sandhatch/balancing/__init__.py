"""Load-balancing decisions for services that call services, without any input or output of their own."""

from sandhatch.balancing.errors import ContractError, SettingsError
from sandhatch.balancing.policy.balancer import Balancer
from sandhatch.balancing.settings import Settings

__all__ = ["Balancer", "ContractError", "Settings", "SettingsError"]

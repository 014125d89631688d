"""Load-balancing decisions for service-to-service calls, free of I/O."""

from sandhatch.balancing.errors import ContractError, SettingsError
from sandhatch.balancing.policy.balancer import Balancer
from sandhatch.balancing.settings import Settings

__all__ = ["Balancer", "ContractError", "Settings", "SettingsError"]

"""The platform's configuration: the file that GW_CONFIG names and the environment, as one typed object.

This module needs no optional dependency. Errors name the key and the value; the platform defines the keys and
the variables.
Source: docs PROTOCOL and DEPLOY of the platform.
"""

from __future__ import annotations

import json
import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from sandhatch.balancing.errors import SettingsError
from sandhatch.balancing.settings import Settings
from sandhatch.runtime.address import Address, parse_address_setting
from sandhatch.runtime.errors import ConfigError
from sandhatch.runtime.process import raise_descriptor_limit
from sandhatch.simulator.settings_decoder import decode_settings

DEFAULT_MEMORY_MB = 64.0
MIN_MEMORY_MB = 16
MIN_SOCKETS = 32
MAX_NUMBER = 1e9  # exclusive upper bound, above any meaningful limit or time


@dataclass(slots=True, frozen=True)
class PlatformConfig:
    """The configuration of the platform's program.

    Attributes:
        name: Name of this instance.
        listen: Address that clients connect to.
        discovery: Address of the discovery service.
        seed: Seed of all random draws.
        sockets: Maximum number of descriptors of this process.
        memory_mb: Memory budget.
        settings: Settings of the balancer.
        zones: Names of the zones, by zone number.
        machine_types: Names of the machine types, by type number.
        report_names: Names of a load report's values, in the order of the settings.
        drain_grace_ms: Time from the notification that a server is draining to the last attempt that may
            still be sent to it.
        known_endpoints: Endpoint list that this instance last used, in the form of the discovery service;
            empty for none.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: float
    settings: Settings
    zones: tuple[str, ...]
    machine_types: tuple[str, ...]
    report_names: tuple[str, ...]
    drain_grace_ms: float
    known_endpoints: dict[str, Any] = field(default_factory=dict)


def decode(text: str, env: Mapping[str, str], is_reload: bool = False) -> PlatformConfig:
    """Decode the file's text and the environment, which takes precedence over the file.

    Args:
        text: JSON object.
        env: Environment variables.
        is_reload: Whether the file is reloaded. The discovery address of a reloaded file takes precedence,
            since the environment still holds the address from the start of the process.

    Raises:
        ConfigError: A value can't be used; the message names its key and the value.
    """
    try:
        parsed = json.loads(text)
    except (ValueError, RecursionError) as problem:
        raise ConfigError(f"GW_CONFIG: not JSON: {problem}") from None
    data = _require_object(parsed, "GW_CONFIG")
    settings_data = _require_object(data.get("settings"), "settings")
    settings = _settings(settings_data)
    drain_grace_ms = _drain_grace_ms(settings_data)
    return PlatformConfig(
        name=str(env.get("GW_NAME") or data.get("name", "")),
        listen=parse_address_setting(env.get("GW_LISTEN") or data.get("listen"), "listen"),
        discovery=_discovery(data, env, is_reload),
        seed=_seed(data.get("seed", "0")),
        sockets=_sockets(_limits(data)),
        memory_mb=_memory_mb(_limits(data)),
        settings=settings,
        zones=_require_names(settings_data, "Zones"),
        machine_types=_require_names(settings_data, "MachineTypes"),
        report_names=_require_names(
            _require_object(settings_data.get("Stats", {}), "settings.Stats"), "Fields"
        ),
        drain_grace_ms=drain_grace_ms,
        known_endpoints=_require_object(data.get("known") or {}, "known"),
    )


def load(env: Mapping[str, str] = os.environ, is_reload: bool = False) -> PlatformConfig:
    """Read and decode the file that GW_CONFIG names; the arguments and errors are those of `decode`."""
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError(f"GW_CONFIG: {path!r} names no file")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError(f"GW_CONFIG: {path!r} can't be read: {problem}") from None
    return decode(text, env, is_reload)


def _require_object(data: Any, key: str) -> dict[str, Any]:
    if not isinstance(data, dict):
        raise ConfigError(f"{key}: {data!r:.200} is not an object")
    return data


def _require_names(data: Mapping[str, Any], key: str) -> tuple[str, ...]:
    names = data.get(key, [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError(f"settings.{key}: {names!r:.200} is not a list of names")
    return tuple(names)


def _settings(data: dict[str, Any]) -> Settings:
    try:
        settings = decode_settings(json.dumps(data).encode())
    except SettingsError as problem:
        raise ConfigError(f"settings: {problem}") from None
    return replace(settings, one_shot_watches=True)


def _drain_grace_ms(settings: dict[str, Any]) -> float:
    guarantees = _require_object(settings.get("Guarantees", {}), "settings.Guarantees")
    grace_ms = guarantees.get("DrainGraceMs", 0.0)
    if isinstance(grace_ms, bool) or not isinstance(grace_ms, int | float) or not 0 <= grace_ms < MAX_NUMBER:
        raise ConfigError(f"settings.Guarantees.DrainGraceMs: {grace_ms!r} is not a time in milliseconds")
    return float(grace_ms)


def _discovery(data: dict[str, Any], env: Mapping[str, str], is_reload: bool) -> Address:
    in_file = data.get("discovery")
    in_environment = env.get("GW_DISCOVERY")
    preferred = in_file or in_environment if is_reload else in_environment or in_file
    return parse_address_setting(preferred, "discovery")


def _seed(value: object) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(str(value))
    except ValueError:
        raise ConfigError(f"seed: {value!r} is not a hexadecimal number") from None


def _limits(data: dict[str, Any]) -> dict[str, Any]:
    return _require_object(data.get("limits", {}), "limits")


def _sockets(limits: dict[str, Any]) -> int:
    """Return the maximum number of descriptors: the configured limit or the system's, if lower."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    configured: Any = limits.get("sockets", soft_limit)
    if isinstance(configured, bool) or not isinstance(configured, int) or configured < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: {configured!r} is not a whole number of at least {MIN_SOCKETS}")
    return raise_descriptor_limit(configured)


def _memory_mb(limits: dict[str, Any]) -> float:
    configured = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if (
        isinstance(configured, bool)
        or not isinstance(configured, int | float)
        or not MIN_MEMORY_MB <= configured < MAX_NUMBER
    ):
        raise ConfigError(f"limits.memory_mb: {configured!r} is not a number of at least {MIN_MEMORY_MB}")
    return float(configured)

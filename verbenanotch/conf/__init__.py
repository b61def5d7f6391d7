"""Settings of one process, read from a TOML file and checked at start."""

from verbenanotch.conf._settings import (
    ControlSettings,
    HostSettings,
    ProxySettings,
    Settings,
    TelemetrySettings,
    Voter,
    load,
)

__all__ = [
    "ControlSettings",
    "HostSettings",
    "ProxySettings",
    "Settings",
    "TelemetrySettings",
    "Voter",
    "load",
]

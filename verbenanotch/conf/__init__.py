"""Settings of one process, read from a TOML file and checked at start."""

from verbenanotch.conf._settings import (
    ControlSettings,
    DiscoverySettings,
    HeaderNames,
    HostSettings,
    ProxySettings,
    Reloader,
    Settings,
    TelemetrySettings,
    Voter,
    endpoint,
    load,
)

__all__ = [
    "ControlSettings",
    "DiscoverySettings",
    "HeaderNames",
    "HostSettings",
    "ProxySettings",
    "Reloader",
    "Settings",
    "TelemetrySettings",
    "Voter",
    "endpoint",
    "load",
]

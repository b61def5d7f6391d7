"""Settings of one process, read from a TOML file and checked at start."""

from verbenanotch.conf._settings import (
    ControlHostAddress,
    ControlSettings,
    DiscoverySettings,
    HeaderNames,
    HostSettings,
    ProxySettings,
    Reloader,
    Settings,
    TelemetrySettings,
    load,
    parse_endpoint,
)

__all__ = [
    "ControlHostAddress",
    "ControlSettings",
    "DiscoverySettings",
    "HeaderNames",
    "HostSettings",
    "ProxySettings",
    "Reloader",
    "Settings",
    "TelemetrySettings",
    "load",
    "parse_endpoint",
]

"""Mesh configurations: services, routes, submissions and versions."""

from verbenanotch.catalog._mesh import (
    ANY_HOST,
    MAX_CALL_DEPTH,
    MAX_TIMEOUT_MS,
    METHODS,
    NAME_PATTERN,
    ClientAccount,
    Exposure,
    Mesh,
    Route,
    Service,
    WeightedService,
    check_mesh,
    parse_mesh,
)
from verbenanotch.catalog._submission import (
    NO_LABEL,
    Accepted,
    Conflict,
    Rejected,
    Submission,
    Unavailable,
    Unknown,
)
from verbenanotch.catalog._version import NO_VERSION, Version

__all__ = [
    "ANY_HOST",
    "MAX_CALL_DEPTH",
    "MAX_TIMEOUT_MS",
    "METHODS",
    "NAME_PATTERN",
    "NO_LABEL",
    "NO_VERSION",
    "Accepted",
    "ClientAccount",
    "Conflict",
    "Exposure",
    "Mesh",
    "Rejected",
    "Route",
    "Service",
    "Submission",
    "Unavailable",
    "Unknown",
    "Version",
    "WeightedService",
    "check_mesh",
    "parse_mesh",
]

"""Operators' files: services, routes, versions and their rules."""

from verbenanotch.catalog._mesh import (
    ANY_HOST,
    MAX_CALL_DEPTH,
    MAX_TIMEOUT_MS,
    METHODS,
    Mesh,
    Route,
    Service,
    WeightedService,
    check_mesh,
    parse_mesh,
)
from verbenanotch.catalog._submission import (
    Accepted,
    Conflict,
    Rejected,
    Submission,
    Unavailable,
    Unknown,
)
from verbenanotch.catalog._version import NO_VERSION, Version
from verbenanotch.catalog._version_service import VersionService
from verbenanotch.catalog._versions import VersionRecord, Versions

__all__ = [
    "ANY_HOST",
    "MAX_CALL_DEPTH",
    "MAX_TIMEOUT_MS",
    "METHODS",
    "NO_VERSION",
    "Accepted",
    "Conflict",
    "Mesh",
    "Rejected",
    "Route",
    "Service",
    "Submission",
    "Unavailable",
    "Unknown",
    "Version",
    "VersionRecord",
    "VersionService",
    "Versions",
    "WeightedService",
    "check_mesh",
    "parse_mesh",
]

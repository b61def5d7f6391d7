"""Operators' files: services, routes, versions and their rules."""

from verbenanotch.catalog._mesh import (
    MAX_CALL_DEPTH,
    MAX_TIMEOUT_MS,
    Mesh,
    Route,
    Service,
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
    "MAX_CALL_DEPTH",
    "MAX_TIMEOUT_MS",
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
    "parse_mesh",
]

"""The platform's configurations as the project's meshes."""

import attrs

from verbenanotch.catalog import METHODS as ALL_METHODS
from verbenanotch.catalog import (
    Mesh,
    Route,
    Service,
    WeightedService,
    check_mesh,
)
from verbenanotch.documents import Document, Invalid, Problem
from verbenanotch.platform._fields import (
    field,
    label_of,
    load_object,
    seconds_field,
)
from verbenanotch.platform.exceptions import MalformedDocumentError

METHODS_BY_KIND = {"safe": tuple(sorted(ALL_METHODS)), "unsafe": ()}
# Configurations of the platform have no name of their own.
MESH_NAME = "platform"
# Weights may be fractions; a mesh has whole ones.
WEIGHT_SCALE = 1_000_000


@attrs.frozen(kw_only=True)
class Configuration:
    """One configuration: its own number and what it holds."""

    label: int
    mesh: Mesh


def parse_configuration(data):
    """Return Valid with the Mesh of a configuration, or Invalid."""
    try:
        configuration = read_configuration(data)
    except MalformedDocumentError as error:
        problem = Problem(
            key="(document)",
            line=0,
            text=str(error),
            remedy="Send a whole configuration.",
        )
        return Invalid(problems=(problem,))
    return check_mesh(configuration.mesh, document=Document(text=""))


def read_configuration(data):
    """Return the Configuration of a body.

    Raises MalformedDocumentError.
    """
    values = load_object(data)
    routes = field(values, "Routes", dict)
    services = field(values, "Services", dict)
    return Configuration(
        label=label_of(field(values, "Version", str)),
        mesh=Mesh(
            name=MESH_NAME,
            routes={name: _route(name, item) for name, item in routes.items()},
            services={
                name: _service(name, item) for name, item in services.items()
            },
        ),
    )


def _route(name, values):
    if not isinstance(values, dict):
        raise MalformedDocumentError(f"route {name!r} is no object")
    kind = field(values, "Kind", str)
    if kind not in METHODS_BY_KIND:
        raise MalformedDocumentError(f"route {name!r} has the kind {kind!r}")
    split = tuple(
        _part(item) for item in field(values, "Split", list, default=[])
    )
    first = split[0].service if split else None
    return Route(
        host=field(values, "Host", str),
        prefix=field(values, "Prefix", str),
        service=field(values, "Service", str, default=first),
        split=split,
        needs_slash=True,
        idempotent_methods=METHODS_BY_KIND[kind],
        timeout_ms=seconds_field(values, "TimeoutS"),
        # The time within which an answer is worth most.
        objective_ms=seconds_field(values, "SloS", default=0),
        # The greatest number of targets that one request may be sent to.
        max_attempts=field(values, "Attempts", int, default=1),
        priority=field(values, "Priority", int, default=0),
    )


def _part(values):
    if not isinstance(values, dict):
        raise MalformedDocumentError("a part of a split is no object")
    weight = field(values, "Weight", int, float)
    return WeightedService(
        service=field(values, "Service", str),
        weight=round(weight * WEIGHT_SCALE),
    )


def _service(name, values):
    if not isinstance(values, dict):
        raise MalformedDocumentError(f"service {name!r} is no object")
    return Service(
        health_path=field(values, "HealthPath", str, default="/healthz"),
        max_connections=field(values, "MaxConns", int, default=110),
    )

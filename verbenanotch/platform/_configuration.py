"""Convert the platform's configurations to mesh configurations."""

import attrs

from verbenanotch.catalog import METHODS as ALL_METHODS
from verbenanotch.catalog import (
    ClientAccount,
    Mesh,
    Route,
    Service,
    WeightedService,
    check_mesh,
)
from verbenanotch.documents import Document, Invalid, Problem
from verbenanotch.platform._fields import (
    get_field,
    get_milliseconds,
    get_scaled,
    get_secret_field,
    load_object,
    parse_label,
)
from verbenanotch.platform.exceptions import MalformedDocumentError

IDEMPOTENT_METHODS_BY_KIND = {
    "safe": tuple(sorted(ALL_METHODS)),
    # A safe request with a large answer.
    "download": tuple(sorted(ALL_METHODS)),
    "unsafe": (),
}
# The platform's configurations have no name.
MESH_NAME = "platform"
# The platform allows fractional weights; a Mesh requires integers.
WEIGHT_SCALE = 1_000_000


@attrs.frozen(kw_only=True)
class Configuration:
    """A parsed configuration.

    `label` is the number of the version that the platform gave it.
    """

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
            remedy="Send a complete configuration.",
        )
        return Invalid(problems=(problem,))
    # The empty Document has no lines, so the problems have none either.
    return check_mesh(configuration.mesh, document=Document(text=""))


def read_configuration(data):
    """Parse the body of a request into a Configuration.

    Raises MalformedDocumentError.
    """
    values = load_object(data)
    routes = get_field(values, "Routes", dict)
    services = get_field(values, "Services", dict)
    accounts = get_secret_field(values, "Tenants", dict, default={})
    return Configuration(
        label=parse_label(get_field(values, "Version", str)),
        mesh=Mesh(
            name=MESH_NAME,
            routes={
                name: _route(name, fields) for name, fields in routes.items()
            },
            services={
                name: _service(name, fields)
                for name, fields in services.items()
            },
            client_accounts={
                name: _client_account(name, fields)
                for name, fields in accounts.items()
            },
        ),
    )


def _route(name, values):
    if not isinstance(values, dict):
        raise MalformedDocumentError(f"route {name!r} is not an object")
    kind = get_field(values, "Kind", str)
    if kind not in IDEMPOTENT_METHODS_BY_KIND:
        raise MalformedDocumentError(
            f"route {name!r} has the unknown kind {kind!r}"
        )
    split = tuple(
        _weighted_service(item)
        for item in get_field(values, "Split", list, default=[])
    )
    first_service = split[0].service if split else None
    return Route(
        host=get_field(values, "Host", str),
        prefix=get_field(values, "Prefix", str),
        service=get_field(values, "Service", str, default=first_service),
        split=split,
        needs_slash=True,
        idempotent_methods=IDEMPOTENT_METHODS_BY_KIND[kind],
        timeout_ms=get_milliseconds(values, "TimeoutS"),
        # The latency objective: a later response is worth less.
        objective_ms=get_milliseconds(values, "SloS", default=0),
        # The maximum number of targets that one request may be sent to.
        max_attempts=get_field(values, "Attempts", int, default=1),
        priority=get_field(values, "Priority", int, default=0),
        public=get_field(values, "Public", bool, default=False),
    )


def _client_account(name, values):
    if not isinstance(values, dict):
        raise MalformedDocumentError(f"tenant {name!r} is not an object")
    keys = get_secret_field(values, "ApiKeys", list, default=[])
    if not all(isinstance(key, str) for key in keys):
        raise MalformedDocumentError(
            f"an item of ApiKeys of tenant {name!r} is not a text"
        )
    return ClientAccount(
        keys=tuple(keys),
        priority=get_secret_field(values, "Priority", int, default=0),
        rate=_number(values, "RatePerS"),
        burst=_number(values, "Burst"),
    )


def _number(values, name):
    """Return an optional number as a float; 0 if it is absent."""
    try:
        return float(get_secret_field(values, name, int, float, default=0))
    except OverflowError as error:
        raise MalformedDocumentError(f"{name} is too large") from error


def _weighted_service(values):
    if not isinstance(values, dict):
        raise MalformedDocumentError("an item of a split is not an object")
    return WeightedService(
        service=get_field(values, "Service", str),
        weight=get_scaled(values, "Weight", scale=WEIGHT_SCALE),
    )


def _service(name, values):
    if not isinstance(values, dict):
        raise MalformedDocumentError(f"service {name!r} is not an object")
    return Service(
        health_path=get_field(values, "HealthPath", str, default="/healthz"),
        max_connections=get_field(values, "MaxConns", int, default=110),
    )

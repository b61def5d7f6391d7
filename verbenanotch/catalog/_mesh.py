"""The content of a mesh file and its validation."""

import re

import attrs

from verbenanotch.catalog._account_checks import account_problems
from verbenanotch.documents import Invalid, Valid, parse

# Maximum number of services in a chain, each of which calls the next.
# Proxies also refuse requests with at least this depth.
MAX_CALL_DEPTH = 9
MAX_TIMEOUT_MS = 600_000
ANY_HOST = "*"
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
METHODS = frozenset(
    ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
)


@attrs.frozen(kw_only=True)
class ClientAccount:
    """A customer whose callers are known by the keys that they send.

    Requests of an account with a lower `priority` number are run first,
    before the priority of their routes counts. All proxies together run at
    most `rate` of its requests a second, and a burst of `burst` more; a rate
    of 0 means no limit.
    """

    keys: tuple[str, ...] = attrs.field(default=(), repr=False)
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0


@attrs.frozen(kw_only=True)
class Exposure:
    """How a service's requests are divided between two software versions.

    Targets of the version `candidate` receive `share_ppm` millionths of the
    requests, all others the rest. Targets of the versions in `rejected`
    receive none.
    """

    candidate: str
    share_ppm: int = 0
    rejected: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Service:
    """Properties of the targets of one service.

    `slots` is the number of requests that one target runs concurrently,
    `max_connections` the number of connections that it accepts. `calls` are
    the names of the services that its targets call through the mesh.
    `cold_start_ms` is the time over which the load on a new target is
    increased. `exposure` is set by a rollout, never by an operator's file.
    """

    slots: int = 16
    max_connections: int = 110
    health_path: str = "/health"
    load_path: str = "/load"
    calls: tuple[str, ...] = ()
    cold_start_ms: int = 2000
    exposure: Exposure | None = None


@attrs.frozen(kw_only=True)
class WeightedService:
    """One service of a split, chosen with a probability by weight.

    The probability is `weight` divided by the sum of the weights.
    """

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """A rule that sends matching requests to a service.

    A request matches the routes of its `host` first, then those of
    ANY_HOST, and among them the one with the longest `prefix` that consists
    of complete segments of its path. A prefix with a trailing slash also
    matches the path without it, unless `needs_slash` is set. The request is
    sent to `service`, or to one of the services of `split`, which include
    `service`. Requests with one of the `idempotent_methods` may be retried
    even if they may have run. `max_attempts` includes the first attempt.
    `timeout_ms` is the default and the upper limit of callers' timeouts.
    `objective_ms` is the desired response time, 0 if none is set. Requests
    with a lower `priority` number are run first. The requests of a `public`
    route need no key of a client account.
    """

    prefix: str
    service: str
    host: str = ANY_HOST
    split: tuple[WeightedService, ...] = ()
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    timeout_ms: int = 2000
    max_attempts: int = 3
    needs_slash: bool = False
    objective_ms: int = 0
    priority: int = 0
    public: bool = False

    @property
    def services(self):
        """Return the names of all services that requests may be sent to."""
        if self.split:
            return tuple(
                weighted_service.service for weighted_service in self.split
            )
        return (self.service,)


@attrs.frozen(kw_only=True)
class Mesh:
    """One complete configuration, as an operator submits it.

    Without `client_accounts`, requests need no key.
    """

    name: str
    services: dict[str, Service] = attrs.field(factory=dict)
    routes: dict[str, Route] = attrs.field(factory=dict)
    client_accounts: dict[str, ClientAccount] = attrs.field(factory=dict)

    @property
    def services_by_name(self):
        """Services keyed by name."""
        return self.services

    @property
    def routes_by_name(self):
        """Routes keyed by name."""
        return self.routes

    @property
    def accounts_by_name(self):
        """Client accounts keyed by name."""
        return self.client_accounts


def parse_mesh(data):
    """Parse a mesh file and check it.

    `data` is the bytes of a TOML file. Returns Valid with a Mesh, or Invalid
    with every problem found.
    """
    result = parse(data, Mesh)
    match result:
        case Valid(value=mesh, document=document):
            return check_mesh(mesh, document=document)
        case Invalid():
            return result


def check_mesh(mesh, *, document):
    """Check a Mesh against the rules that its types do not express.

    Returns Valid with `mesh`, or Invalid with every problem found.
    `document` is the Document that gives the lines of the problems.
    """
    problems = tuple(_problems(mesh, document))
    if problems:
        return Invalid(problems=problems)
    return Valid(value=mesh, document=document)


def _problems(mesh, document):
    """Yield a Problem for each rule that the parsed mesh file breaks."""
    for name, service in mesh.services.items():
        yield from _service_problems(name, service, mesh, document)
    for name, route in mesh.routes.items():
        yield from _route_problems(name, route, mesh, document)
    yield from account_problems(mesh.client_accounts, document)
    yield from _duplicate_prefix_problems(mesh, document)
    yield from _call_problems(mesh, document)


def _name_problems(key, name, document):
    if not NAME_PATTERN.fullmatch(name):
        yield document.problem(
            key,
            f"{name!r} is not a valid name",
            "Use up to 63 lower-case letters, digits and inner hyphens.",
        )


def _service_problems(name, service, mesh, document):
    key = f"services.{name}"
    yield from _name_problems(key, name, document)
    for field in ("slots", "max_connections"):
        if getattr(service, field) < 1:
            yield document.problem(
                f"{key}.{field}", "must be positive", "Use at least 1."
            )
    if service.exposure is not None:
        yield document.problem(
            f"{key}.exposure",
            "exposures are set by rollouts alone",
            "Remove it, and start a rollout.",
        )
    if service.cold_start_ms < 0:
        yield document.problem(
            f"{key}.cold_start_ms", "is negative", "Use at least 0."
        )
    for field in ("health_path", "load_path"):
        if not getattr(service, field).startswith("/"):
            yield document.problem(
                f"{key}.{field}", "is not a path", "Start it with a slash."
            )
    for callee in service.calls:
        if callee not in mesh.services:
            yield document.problem(
                f"{key}.calls",
                f"service {callee!r} does not exist",
                f"Add [services.{callee}] or remove the call.",
            )


def _route_problems(name, route, mesh, document):
    key = f"routes.{name}"
    yield from _name_problems(key, name, document)
    if not route.prefix.startswith("/"):
        yield document.problem(
            f"{key}.prefix", "is not a path", "Start it with a slash."
        )
    if {".", ".."} & set(route.prefix.split("/")):
        yield document.problem(
            f"{key}.prefix",
            "has dot segments, which are not resolved and never match",
            "Write the path that callers send.",
        )
    yield from _destination_problems(key, route, mesh, document)
    if not route.host:
        yield document.problem(
            f"{key}.host", "is empty", f"Use a host name, or {ANY_HOST!r}."
        )
    if not 0 < route.timeout_ms <= MAX_TIMEOUT_MS:
        yield document.problem(
            f"{key}.timeout_ms",
            "is out of range",
            f"Use 1 to {MAX_TIMEOUT_MS}.",
        )
    if route.max_attempts < 1:
        yield document.problem(
            f"{key}.max_attempts", "must be positive", "Use at least 1."
        )
    for method in route.idempotent_methods:
        if method not in METHODS:
            yield document.problem(
                f"{key}.idempotent_methods",
                f"unknown method {method!r}",
                f"Use any of {', '.join(sorted(METHODS))}.",
            )


def _destination_problems(key, route, mesh, document):
    if route.service not in route.services:
        yield document.problem(
            f"{key}.service",
            f"{route.service!r} is not part of the split",
            "Use a service of the split, or remove the split.",
        )
    for service in {route.service, *route.services}:
        if service not in mesh.services:
            yield document.problem(
                f"{key}.service",
                f"service {service!r} does not exist",
                f"Add [services.{service}] or remove the route.",
            )
    weights = [weighted_service.weight for weighted_service in route.split]
    if weights and (min(weights) < 0 or not sum(weights)):
        yield document.problem(
            f"{key}.split",
            "a weight is negative, or all are zero",
            "Use weights of at least 0, one of them positive.",
        )


def _duplicate_prefix_problems(mesh, document):
    names_by_host_and_prefix = {}
    for name, route in mesh.routes.items():
        host_and_prefix = (route.host, route.prefix.rstrip("/"))
        first = names_by_host_and_prefix.setdefault(host_and_prefix, name)
        if first != name:
            yield document.problem(
                f"routes.{name}.prefix",
                f"route {first!r} has the same host and prefix",
                "Give each route of a host its own prefix.",
            )


def _call_problems(mesh, document):
    """Yield Problems for a cycle of calls and for chains that are too deep."""
    depths_by_name = {}
    for name in mesh.services:
        cycle = _measure_depth(name, mesh, depths_by_name)
        if cycle:
            yield document.problem(
                f"services.{name}.calls",
                f"calls form a cycle: {' -> '.join(cycle)}",
                "Remove one of the calls.",
            )
            return
        if depths_by_name[name] > MAX_CALL_DEPTH:
            yield document.problem(
                f"services.{name}.calls",
                f"the call chain is {depths_by_name[name]} services deep",
                f"Keep it within {MAX_CALL_DEPTH}.",
            )


def _measure_depth(start, mesh, depths_by_name):
    """Add the call depths of `start` and its callees to `depths_by_name`.

    Returns the names of a cycle of calls, or an empty list if there is none.
    The search is iterative, so that a long chain cannot exhaust the stack.
    """
    path = [start]
    remaining_callees = [iter(mesh.services[start].calls)]
    while path:
        callee = next(remaining_callees[-1], None)
        if callee is None:
            name = path.pop()
            remaining_callees.pop()
            callee_depths = [
                depths_by_name.get(called, 0)
                for called in mesh.services[name].calls
            ]
            depths_by_name[name] = 1 + max(callee_depths, default=0)
        elif callee in path:
            return [*path[path.index(callee) :], callee]
        elif callee in mesh.services and callee not in depths_by_name:
            path.append(callee)
            remaining_callees.append(iter(mesh.services[callee].calls))
    return []

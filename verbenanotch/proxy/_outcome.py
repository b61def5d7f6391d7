"""A call through the mesh and its possible outcomes."""

import dataclasses
import math

import attrs

from verbenanotch.crashes import CrashRecord
from verbenanotch.routing import TargetLoad

DEFAULT_RETRY_AFTER_MS = 1000
MILLISECONDS_PER_SECOND = 1000
FIRST_SERVER_ERROR_STATUS = 500
# Rates travel as whole thousandths of a request per second.
MRPS_PER_RPS = 1000


def to_mrps(rate):
    """Return a rate as sent; one above 0 stays above 0."""
    return max(1, round(rate * MRPS_PER_RPS)) if rate > 0 else 0


@attrs.frozen(kw_only=True)
class Call:
    """One attempt of a request at one target.

    `remaining_ms` is the time to the caller's deadline when the call was
    sent. `attempt` counts from 1. `depth` is the number of calls before this
    one in its chain. `next_hop_retries` is the number of retries that the
    target's own calls may use. If `traced`, events are also logged for an
    answered call. `caller` is the service of the host whose proxy received the
    request. A lower `priority` is served first. `objective_ms` is the time
    that remains of the response time that the route aims at, or 0 if the route
    sets none; it is negative once the objective is missed. `fingerprint` is
    that of the request, for the list of requests that crash targets.
    `demand_mrps` is the rate at which the sending proxy's callers ask for the
    service, and `known_limit_mrps` the rate that the target has named, as far
    as that proxy knows, or 0; both are in thousandths of a request per second.
    Unless it is 0, the call is refused if it would wait for a slot for over
    `max_wait_ms`. `account` is the name of the caller's client account, empty
    without one.
    """

    request_id: str
    service: str
    target_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_ms: int
    idempotent: bool
    attempt: int = 1
    depth: int = 0
    next_hop_retries: int = 0
    traced: bool = False
    caller: str = ""
    priority: int = 0
    route_name: str = ""
    objective_ms: int = 0
    fingerprint: bytes = b""
    demand_mrps: int = 0
    known_limit_mrps: int = 0
    account: str = ""
    max_wait_ms: int = 0

    @property
    def max_wait_seconds(self):
        """The longest wait for a slot, infinite without a limit."""
        if self.max_wait_ms == 0:
            return math.inf
        return self.max_wait_ms / MILLISECONDS_PER_SECOND

    @property
    def objective_seconds(self):
        """The remaining time of the objective, infinite if there is none."""
        if self.objective_ms == 0:
            return math.inf
        return self.objective_ms / MILLISECONDS_PER_SECOND


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """The complete response of the target.

    Here and below, `load` is the target's load after the call, or None.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    load: TargetLoad | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """The request was provably not run.

    The caller may retry after `retry_after_ms`. `account` is the client
    account whose rate was used up, or empty.
    """

    reason: str
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS
    account: str = ""
    load: TargetLoad | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """The request may have run; it cannot be determined whether it did.

    `retry_after_ms` is the delay after which to retry with the same
    idempotency key, or 0 if none is suggested. If the target has crashed,
    `crashes` has the record of the request's crashes.
    """

    reason: str
    retry_after_ms: int = 0
    crashes: tuple[CrashRecord, ...] = ()
    load: TargetLoad | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """The caller's request is invalid; it was not run."""

    status: int
    kind: str
    remedy: str


Outcome = Answered | NotRun | Unknown
EntryOutcome = Answered | NotRun | Unknown | Rejected

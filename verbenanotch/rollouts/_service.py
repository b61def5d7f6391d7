"""Operators' orders of rollouts, ordered by the replicated log."""

import re
import time

import attrs

from verbenanotch.catalog import Unavailable, Unknown
from verbenanotch.replication import Committed, ReadConfirmed
from verbenanotch.replication import Unavailable as ReplicaUnavailable
from verbenanotch.rollouts._commands import (
    Abort,
    Order,
    Refused,
    decode_outcome,
    encode_command,
)

VERSION_PATTERN = re.compile(r"[!-~]{1,100}")
MAX_FINISH_BY_MS = 7 * 24 * 3600 * 1000
MILLISECONDS_PER_SECOND = 1000
READ_TIMEOUT_SECONDS = 1.0


@attrs.frozen(kw_only=True)
class RolloutService:
    """Order, abort and show rollouts on any control host.

    `replica` is the local Replica, `state` the MeshStateMachine to which it
    applies entries.
    """

    replica: object
    state: object

    def order(
        self,
        *,
        service,
        candidate,
        finish_by_seconds,
        operator,
        timeout_seconds=5.0,
    ):
        """Return Ordered, Refused, Unavailable or Unknown.

        An order that is given again while its rollout runs, or is the last
        one of its service, changes nothing.
        """
        refused = _find_fault(candidate, finish_by_seconds)
        if refused is not None:
            return refused
        unknown = self._find_unknown_service(service, candidate)
        if unknown is not None:
            return unknown
        return self._propose(
            Order(
                service=service,
                candidate=candidate,
                finish_by_ms=round(
                    finish_by_seconds * MILLISECONDS_PER_SECOND
                ),
                operator=operator,
                ordered_at_ms=time.time_ns() // 1_000_000,
            ),
            timeout_seconds,
        )

    def abort(self, *, service, candidate, operator, timeout_seconds=5.0):
        """Roll a rollout back; return the same outcomes as `order`."""
        return self._propose(
            Abort(service=service, candidate=candidate, operator=operator),
            timeout_seconds,
        )

    def is_current(self, *, timeout_seconds):
        """Return whether a quorum confirmed that this host is up to date."""
        outcome = self.replica.confirm_read(timeout_seconds=timeout_seconds)
        return isinstance(outcome, ReadConfirmed)

    def last(self, service):
        """Return the last Rollout of a service, or None.

        Call `is_current` first, so that it is not an older state.
        """
        return self.state.rollouts.rollouts_by_service.get(service)

    def history(self, service):
        """Return the Rollouts of a service, oldest first."""
        table = self.state.rollouts
        earlier = [item for item in table.earlier if item.service == service]
        last = self.last(service)
        return (*earlier, *((last,) if last else ()))

    def _find_unknown_service(self, service, candidate):
        """Return Refused if the mesh has no such service, else None.

        A host that lacks the service catches up first. An order that was
        given before is acknowledged again, whatever the mesh has by now.
        """
        if self._may_order(service, candidate):
            return None
        if not self.is_current(timeout_seconds=READ_TIMEOUT_SECONDS):
            return Unavailable(
                reason="no quorum confirmed that this host has every version",
                remedy="Send the order again later.",
            )
        if self._may_order(service, candidate):
            return None
        return Refused(
            reason=f"there is no service {service!r}",
            remedy="Name a service of the current configuration.",
        )

    def _may_order(self, service, candidate):
        rollouts = self.state.rollouts
        last = rollouts.rollouts_by_service.get(service)
        return (
            self._has_service(service)
            or (last is not None and last.candidate == candidate)
            or candidate in rollouts.rejected_by_service.get(service, ())
        )

    def _has_service(self, service):
        current = self.state.versions.current
        return current is not None and (
            service in current.mesh.services_by_name
        )

    def _propose(self, command, timeout_seconds):
        outcome = self.replica.propose(
            command=encode_command(command), timeout_seconds=timeout_seconds
        )
        match outcome:
            case Committed(result=result):
                return decode_outcome(result)
            case ReplicaUnavailable(reason=reason):
                return Unavailable(
                    reason=reason, remedy="Send the order again later."
                )
        return Unknown(
            reason=outcome.reason, remedy="Send the same order again."
        )


def _find_fault(candidate, finish_by_seconds):
    """Return Refused if an order makes no sense in any mesh, else None."""
    if not VERSION_PATTERN.fullmatch(candidate):
        return Refused(
            reason=f"{candidate!r} is not a software version",
            remedy="Use 1 to 100 printable ASCII characters, no spaces.",
        )
    milliseconds = finish_by_seconds * MILLISECONDS_PER_SECOND
    # Written so that it refuses NaN, too.
    if not 1 <= milliseconds <= MAX_FINISH_BY_MS:
        return Refused(
            reason=f"{finish_by_seconds} s is not a time to finish by",
            remedy="Use a positive time of at most a week.",
        )
    return None

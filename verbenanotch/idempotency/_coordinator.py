"""The coordinator of a keyed request, and the table of the holders of keys.

An attempt may be dispatched only after both holders of its key have recorded
it as started. Coordinators ask the first holder first, so that of several
attempts at the same time only one gets past it.
"""

import dataclasses

import attrs

from verbenanotch.idempotency._keys import issued_at_ms
from verbenanotch.idempotency._members import (
    RecordHolder,
    holders_for_shard,
    identities,
    shard_of,
    updated_holders,
)
from verbenanotch.idempotency._messages import (
    AlreadyFinished,
    Begin,
    Begun,
    Finish,
    InProgress,
    KeyConflict,
    Lookup,
    MarkUnknown,
    OutcomeUnknown,
    Refused,
    ReleaseAttempt,
)
from verbenanotch.idempotency._records import MAX_ANSWER_BYTES, answer_bytes

REFUSED_RETRY_AFTER_MS = 1000


class HolderTable:
    """The holders of each shard under one view."""

    def __init__(self, view, *, previous=None):
        """Create a table that computes the holders of a shard on first use.

        Holders that `previous`, the table of an earlier view, has computed
        are updated to `view` and reused.
        """
        self._view = view
        self._holders_by_shard = {}
        if previous is not None:
            self._holders_by_shard = updated_holders(
                previous._holders_by_shard, previous._view, view
            )

    def holders(self, key):
        """Return the `(first, second)` members that hold a key."""
        shard_number = shard_of(key)
        holders = self._holders_by_shard.get(shard_number)
        if holders is None:
            holders = holders_for_shard(shard_number, self._view.members)
            self._holders_by_shard[shard_number] = holders
        return holders


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dispatch:
    """Permission to run the request of a key once.

    Both holders have recorded the attempt as started. It must be ended by
    the coordinator's `finish`, `mark_unknown` or, if the target provably did
    not run the request, `release`.
    """

    key: str
    token: str
    holders: tuple[RecordHolder, RecordHolder | None]


class Coordinator:
    """Begin and end attempts at the holders of their keys.

    `ask(member, message, timeout_seconds)` sends a message to a holder and
    returns the reply, or None if there was none in time; it may switch to
    other greenthreads. `new_token()` returns a string that is unique among
    the attempts of all processes.
    """

    def __init__(self, *, ask, new_token, timeout_seconds):
        """Create a coordinator; `timeout_seconds` applies to each message."""
        self._ask = ask
        self._new_token = new_token
        self._timeout_seconds = timeout_seconds

    def begin(self, *, key, digest, table, timeout_ms):
        """Return Dispatch, or the reason why the request must not run now.

        `digest` identifies the content of the request, `table` is the
        current HolderTable, and `timeout_ms` is the longest time that the
        attempt can take.

        The other results are AlreadyFinished, InProgress, OutcomeUnknown,
        KeyConflict and Refused. Only Refused with `not_run` means that no
        attempt of the key has run.
        """
        if issued_at_ms(key) is None:
            return Refused(reason="key-form", retry_after_ms=0, not_run=True)
        holders = table.holders(key)
        if holders[0] is None:
            return _refused(not_run=False)
        message = Begin(
            key=key,
            digest=digest,
            token=self._new_token(),
            timeout_ms=timeout_ms,
            holders=identities(holders),
        )
        reply = self._send(holders[0], message)
        match reply:
            case Begun():
                return self._begin_at_second(holders, message, reply)
            case None:
                self._send_release(holders[:1], message)
                reply = _refused(not_run=False)
                return self._look_up_at_second(holders, message, reply)
            case InProgress() | OutcomeUnknown() | Refused(not_run=False):
                return self._look_up_at_second(holders, message, reply)
            case _:
                return reply

    def finish(self, dispatch, answer, *, table):
        """Record the answer at the holders, or that it is not known.

        The latter is for an answer over `MAX_ANSWER_BYTES`, which fits into
        no message: a later attempt with the key gets OutcomeUnknown.

        `table` is the current HolderTable: its holders of the key receive the
        answer as well if they have changed since the dispatch.
        """
        if answer_bytes(answer) > MAX_ANSWER_BYTES:
            self.mark_unknown(dispatch, table=table)
            return
        self._end(
            dispatch,
            Finish(key=dispatch.key, token=dispatch.token, answer=answer),
            table,
        )

    def mark_unknown(self, dispatch, *, table):
        """Record at the holders that the attempt ended without an answer.

        `table` is as for `finish`.
        """
        self._end(
            dispatch,
            MarkUnknown(key=dispatch.key, token=dispatch.token),
            table,
        )

    def release(self, dispatch, *, table):
        """Record at the holders that the attempt provably did not run.

        Another attempt of the key may then be started. Whether or not the
        holders can be reached, the answer to the caller may state that the
        request did not run. `table` is as for `finish`.
        """
        self._end(
            dispatch,
            ReleaseAttempt(key=dispatch.key, token=dispatch.token),
            table,
        )

    def _begin_at_second(self, holders, message, begun):
        """Begin at the second holder; return the result of `begin`.

        The first holder has replied `begun`: no attempt that it has recorded
        may have run. Unless the attempt is dispatched, the record of the
        first holder is changed to match the reply of the second one:
        released if this attempt is abandoned, finished or unknown if the
        second holder has recorded another attempt that may have run.
        """
        dispatch = Dispatch(
            key=message.key, token=message.token, holders=holders
        )
        if holders[1] is None:
            return dispatch
        message = attrs.evolve(message, released=begun.released)
        reply = self._send(holders[1], message)
        match reply:
            case Begun(holder_epoch=epoch) if epoch == begun.holder_epoch:
                return dispatch
            case Begun():
                self._send_release(holders, message)
                return _refused(reason="unsettled", not_run=False)
            case None:
                self._send_release(holders, message)
                return _refused(not_run=True)
            case Refused():
                self._send_release(holders[:1], message)
                return attrs.evolve(reply, not_run=True)
            case AlreadyFinished(answer=answer):
                self._send(
                    holders[0],
                    Finish(
                        key=message.key, token=message.token, answer=answer
                    ),
                )
            case InProgress() | OutcomeUnknown():
                self._send(
                    holders[0],
                    MarkUnknown(key=message.key, token=message.token),
                )
            case KeyConflict():
                self._send_release(holders[:1], message)
        return reply

    def _look_up_at_second(self, holders, message, reply):
        """Return the second holder's reply, or `reply` of the first one.

        The first holder does not have the answer or has not replied, but the
        second one may have it. An answer or a conflict at the second holder
        has precedence over every `reply`, another state of the key only over
        Refused.
        """
        if holders[1] is None:
            return reply
        lookup = Lookup(key=message.key, digest=message.digest)
        second_reply = self._send(holders[1], lookup)
        match second_reply:
            case AlreadyFinished() | KeyConflict():
                return second_reply
            case InProgress() | OutcomeUnknown() if isinstance(reply, Refused):
                return second_reply
            case _:
                return reply

    def _end(self, dispatch, message, table):
        """Send `message` to the holders of the dispatch and those in `table`.

        The first holder of the dispatch comes last: as long as its record is
        STARTED, it lets no other attempt begin.
        """
        members_by_identity = {}
        for holders in (dispatch.holders, table.holders(dispatch.key)):
            for member in reversed(holders):
                if member is not None:
                    members_by_identity.setdefault(member.identity, member)
        first = members_by_identity.pop(dispatch.holders[0].identity)
        for member in (*members_by_identity.values(), first):
            self._send(member, message)

    def _send_release(self, holders, message):
        """Release the attempt of `message`, at the first holder last."""
        release = ReleaseAttempt(key=message.key, token=message.token)
        for member in reversed(holders):
            self._send(member, release)

    def _send(self, member, message):
        return self._ask(member, message, self._timeout_seconds)


def _refused(*, not_run, reason="holder-unreachable"):
    return Refused(
        reason=reason,
        retry_after_ms=REFUSED_RETRY_AFTER_MS,
        not_run=not_run,
    )

"""Begin and end a keyed request at its two holders."""

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

UNREACHABLE_RETRY_AFTER_MS = 1000


class HolderTable:
    """The holders of each shard under the newest known view of a zone."""

    def __init__(self, view, *, previous=None):
        """Compute a shard's holders when they are first asked for.

        Those that the table of the `previous` view knows are carried over.
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
    """Both holders have the key as started: run it, once.

    End it with `finish`, `mark_unknown` or, if the target was provably not
    touched, `release` of the coordinator.
    """

    key: str
    token: str
    holders: tuple[RecordHolder, RecordHolder | None]


class Coordinator:
    """Ask the two holders of a key, the first one first.

    `ask(member, message, timeout_seconds)` sends a message and returns the
    reply, or None if there was none in time; it may switch to other
    greenthreads. `new_token()` returns a string that no other attempt of any
    process has.
    """

    def __init__(self, *, ask, new_token, timeout_seconds):
        """Bound each message by `timeout_seconds`."""
        self._ask = ask
        self._new_token = new_token
        self._timeout_seconds = timeout_seconds

    def begin(self, *, key, digest, table, timeout_ms):
        """Return Dispatch, or why the key is not run now.

        `table` is the HolderTable of the key's home zone, `timeout_ms` how
        long the attempt can take. Other results: AlreadyFinished,
        InProgress, OutcomeUnknown, KeyConflict, Refused. Only Refused with
        `not_run` says that no attempt of the key has run.
        """
        if issued_at_ms(key) is None:
            return Refused(reason="key-form", retry_after_ms=0, not_run=True)
        holders = table.holders(key)
        if holders[0] is None:
            return _unreachable(not_run=False)
        message = Begin(
            key=key,
            digest=digest,
            token=self._new_token(),
            timeout_ms=timeout_ms,
            hosts=identities(holders),
        )
        reply = self._send(holders[0], message)
        match reply:
            case Begun():
                return self._begin_at_second(holders, message, reply)
            case None:
                self._send_release(holders[:1], message)
                reply = _unreachable(not_run=False)
                return self._look_up_at_second(holders, message, reply)
            case InProgress() | OutcomeUnknown() | Refused(not_run=False):
                return self._look_up_at_second(holders, message, reply)
            case _:
                return reply

    def finish(self, dispatch, answer, *, table):
        """Give the answer to the holders, also to those of a newer view."""
        self._end(
            dispatch,
            Finish(key=dispatch.key, token=dispatch.token, answer=answer),
            table,
        )

    def mark_unknown(self, dispatch, *, table):
        """Tell the holders that the attempt ended without an answer."""
        self._end(
            dispatch,
            MarkUnknown(key=dispatch.key, token=dispatch.token),
            table,
        )

    def release(self, dispatch, *, table):
        """Tell the holders that the attempt was provably not run.

        The key may be begun again. The caller may be told that it was not
        run, whether or not the holders can be reached.
        """
        self._end(
            dispatch,
            ReleaseAttempt(key=dispatch.key, token=dispatch.token),
            table,
        )

    def _begin_at_second(self, holders, message, begun):
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
                return _unreachable(reason="unsettled", not_run=False)
            case None:
                self._send_release(holders, message)
                return _unreachable(not_run=True)
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
        """Return what the second holder knows for sure, else `reply`."""
        if holders[1] is None:
            return reply
        lookup = Lookup(key=message.key, digest=message.digest)
        found = self._send(holders[1], lookup)
        match found:
            case AlreadyFinished() | KeyConflict():
                return found
            case InProgress() | OutcomeUnknown() if isinstance(reply, Refused):
                return found
            case _:
                return reply

    def _end(self, dispatch, message, table):
        """Send to the second holders first.

        As long as the first one has the key as started, no other attempt
        gets past it.
        """
        members = {}
        for holders in (dispatch.holders, table.holders(dispatch.key)):
            for member in reversed(holders):
                if member is not None:
                    members.setdefault(member.identity, member)
        first = members.pop(dispatch.holders[0].identity)
        for member in (*members.values(), first):
            self._send(member, message)

    def _send_release(self, holders, message):
        release = ReleaseAttempt(key=message.key, token=message.token)
        for member in reversed(holders):
            self._send(member, release)

    def _send(self, member, message):
        return self._ask(member, message, self._timeout_seconds)


def _unreachable(*, not_run, reason="holder-unreachable"):
    return Refused(
        reason=reason,
        retry_after_ms=UNREACHABLE_RETRY_AFTER_MS,
        not_run=not_run,
    )

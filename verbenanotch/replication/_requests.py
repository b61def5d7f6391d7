"""Proposals and reads from any replica, answered by the leader."""

import itertools
import time

import eventlet
import msgpack
from eventlet import event

from verbenanotch.replication._entries import EntryKind, Position
from verbenanotch.replication._messages import (
    ProposeReply,
    ProposeRequest,
    ReadReply,
    ReadRequest,
)
from verbenanotch.replication._outcomes import (
    Committed,
    OutcomeCode,
    ReadConfirmed,
    ReadUnavailable,
    Unavailable,
    Unknown,
)
from verbenanotch.replication._roles import Role

RETRY_SECONDS = 0.05
MAX_COMMAND_BYTES = 3 * 1024 * 1024
MAX_SERVED_SECONDS = 30.0
PROPOSED_KINDS = (EntryKind.COMMAND, EntryKind.CONFIGURATION)
NO_LEADER = "no leader is known; a quorum of the voters may be unreachable"


class Requests:
    """Carry proposals and reads to the leader and their outcomes back."""

    def __init__(self, *, driver, send, own_id):
        """Take the driver and `send(member_id, message)`."""
        self._driver = driver
        self._send = send
        self._own_id = own_id
        self._request_ids = itertools.count(1)
        self._replies_by_id = {}

    def propose(self, kind, data, timeout_seconds):
        """Return Committed, Unavailable or Unknown."""
        if len(data) > MAX_COMMAND_BYTES:
            return Unavailable(
                reason=f"the command has {len(data)} bytes; "
                f"keep it within {MAX_COMMAND_BYTES}"
            )
        deadline = time.monotonic() + timeout_seconds
        while True:
            outcome = self._propose_once(kind, data, deadline)
            if outcome is not None:
                return outcome
            if time.monotonic() + RETRY_SECONDS >= deadline:
                return Unavailable(reason=self._no_leader_reason())
            eventlet.sleep(RETRY_SECONDS)

    def change_voters(self, add, remove, timeout_seconds):
        """Ask the leader for one change of voters."""
        if bool(add) == bool(remove):
            return Unavailable(reason="name one voter to add or to remove")
        data = msgpack.packb([add, remove])
        return self.propose(EntryKind.CONFIGURATION, data, timeout_seconds)

    def confirm_read(self, timeout_seconds):
        """Return ReadConfirmed or ReadUnavailable."""
        deadline = time.monotonic() + timeout_seconds
        index = None
        while index is None:
            index = self._read_index_once(deadline)
            if index is None:
                if time.monotonic() + RETRY_SECONDS >= deadline:
                    return ReadUnavailable(reason=self._no_leader_reason())
                eventlet.sleep(RETRY_SECONDS)
        left = max(0.0, deadline - time.monotonic())
        if self._driver.wait_until_applied(index, left):
            return ReadConfirmed(index=index)
        return ReadUnavailable(reason=f"entry {index} is not here yet")

    def serve(self, member_id, request):
        """Answer another replica's request in the background."""
        match request:
            case ProposeRequest():
                eventlet.spawn(self._serve_proposal, member_id, request)
            case ReadRequest():
                eventlet.spawn(self._serve_read, member_id, request)

    def take_reply(self, reply):
        """Hand a reply to the one who waits; drop it if nobody does."""
        waiting = self._replies_by_id.pop(reply.request_id, None)
        if waiting is not None:
            waiting.send(reply)

    def _leads_here(self):
        """Tell whether this replica leads and its disk works."""
        leads = self._driver.core.leader_id == self._own_id
        return leads and self._driver.error is None

    def _no_leader_reason(self):
        if self._driver.error is not None:
            return f"this replica failed: {self._driver.error}"
        return NO_LEADER

    def _propose_once(self, kind, data, deadline):
        """Return an outcome, or None if nothing was handed to a leader."""
        leader_id = self._driver.core.leader_id
        if self._leads_here():
            return self._propose_here(kind, data, deadline)
        if self._driver.error is not None or not leader_id:
            return None
        return self._forward(leader_id, kind, data, deadline)

    def _propose_here(self, kind, data, deadline):
        if kind == EntryKind.CONFIGURATION:
            return self._change_here(data, deadline)
        reason = self._driver.refusal(data)
        if reason:
            return Unavailable(reason=reason)
        outcome = self._driver.propose(kind, data)
        return self._await_outcome(outcome, deadline)

    def _await_outcome(self, outcome, deadline):
        if outcome is None:
            return None
        result = outcome.wait(max(0.0, deadline - time.monotonic()))
        if result is not None:
            return result
        self._driver.forget(outcome)
        return Unknown(reason="no quorum has answered in time")

    def _change_here(self, data, deadline):
        """Change voters as soon as it is allowed, within the deadline."""
        core = self._driver.core
        add, remove = msgpack.unpackb(data)
        while core.role == Role.LEADER:
            entry, reason = core.change_voters(add, remove, time.monotonic())
            if entry is not None:
                outcome = self._driver.wait_for(entry)
                return self._await_outcome(outcome, deadline)
            if time.monotonic() >= deadline:
                return Unavailable(reason=reason)
            eventlet.sleep(RETRY_SECONDS)
        return None

    def _forward(self, leader_id, kind, data, deadline):
        left = max(0.0, deadline - time.monotonic())
        reply = self._ask(
            leader_id,
            lambda request_id: ProposeRequest(
                request_id=request_id,
                kind=int(kind),
                data=data,
                timeout_ms=int(left * 1000),
            ),
            left,
        )
        if reply is None:
            return None
        if reply is _NO_REPLY:
            return Unknown(reason="the leader has not answered in time")
        return _outcome_of(reply)

    def _ask(self, leader_id, make_request, timeout_seconds):
        """Return the reply, None if not sent, _NO_REPLY if none came."""
        request_id = next(self._request_ids)
        waiting = event.Event()
        self._replies_by_id[request_id] = waiting
        if not self._send(leader_id, make_request(request_id)):
            del self._replies_by_id[request_id]
            return None
        reply = waiting.wait(timeout_seconds)
        self._replies_by_id.pop(request_id, None)
        return _NO_REPLY if reply is None else reply

    def _read_index_once(self, deadline):
        leader_id = self._driver.core.leader_id
        left = max(0.0, deadline - time.monotonic())
        if self._leads_here():
            return self._read_index_here(left)
        if self._driver.error is not None or not leader_id:
            return None
        reply = self._ask(
            leader_id,
            lambda request_id: ReadRequest(request_id=request_id),
            left,
        )
        if reply is None or reply is _NO_REPLY or not reply.confirmed:
            return None
        return reply.index

    def _read_index_here(self, timeout_seconds):
        token = event.Event()
        self._driver.core.request_read(token, time.monotonic())
        self._driver.wake()
        return token.wait(timeout_seconds)

    def _serve_proposal(self, member_id, request):
        seconds = min(request.timeout_ms / 1000, MAX_SERVED_SECONDS)
        outcome = None
        if self._leads_here() and request.kind in PROPOSED_KINDS:
            outcome = self._propose_here(
                request.kind, request.data, time.monotonic() + seconds
            )
        self._send(member_id, _reply_of(request.request_id, outcome))

    def _serve_read(self, member_id, request):
        index = None
        if self._leads_here():
            index = self._read_index_here(MAX_SERVED_SECONDS)
        reply = ReadReply(
            request_id=request.request_id,
            confirmed=index is not None,
            index=index or 0,
        )
        self._send(member_id, reply)


_NO_REPLY = object()


def _reply_of(request_id, outcome):
    code, position, result, reason = OutcomeCode.NOT_LEADER, None, b"", ""
    match outcome:
        case Committed():
            code = OutcomeCode.COMMITTED
            position, result = outcome.position, outcome.result
        case Unavailable():
            code, reason = OutcomeCode.UNAVAILABLE, outcome.reason
        case Unknown():
            code, reason = OutcomeCode.UNKNOWN, outcome.reason
    return ProposeReply(
        request_id=request_id,
        outcome=int(code),
        epoch=position.term if position else 0,
        index=position.index if position else 0,
        result=result,
        reason=reason,
    )


def _outcome_of(reply):
    """Return the outcome of a reply; None from one that does not lead."""
    match reply.outcome:
        case OutcomeCode.COMMITTED:
            position = Position(term=reply.epoch, index=reply.index)
            return Committed(position=position, result=reply.result)
        case OutcomeCode.UNAVAILABLE:
            return Unavailable(reason=reply.reason)
        case OutcomeCode.UNKNOWN:
            return Unknown(reason=reply.reason)
    return None

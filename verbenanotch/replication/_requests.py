"""Proposals and reads on any replica, forwarded to the leader."""

import itertools
import secrets
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

RETRY_INTERVAL_SECONDS = 0.05
MAX_COMMAND_BYTES = 3 * 1024 * 1024
# The longest time that a leader works on a request of another replica.
MAX_FORWARDED_SECONDS = 30.0
# Ids count up from a random number of this size and stay below 2**63.
FIRST_REQUEST_ID_BITS = 62
PROPOSABLE_KINDS = (EntryKind.COMMAND, EntryKind.CONFIGURATION)
NO_LEADER_REASON = (
    "no leader is known; a quorum of the voters may be unreachable"
)


class Requests:
    """Forward proposals and reads to the leader; serve them as the leader."""

    def __init__(self, *, driver, send, own_id):
        """Use the driver, and `send(member_id, message)` for messages.

        `send` returns whether the message was queued.
        """
        self._driver = driver
        self._send = send
        self._own_id = own_id
        # A reply bears its request's id alone, and may be one to a process
        # that this host ran before: the ids of two processes must differ.
        self._request_ids = itertools.count(
            secrets.randbits(FIRST_REQUEST_ID_BITS)
        )
        self._reply_events_by_id = {}

    def propose(self, kind, data, timeout_seconds):
        """Return Committed, Unavailable or Unknown within the timeout."""
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
            if time.monotonic() + RETRY_INTERVAL_SECONDS >= deadline:
                return Unavailable(reason=self._no_leader_reason())
            eventlet.sleep(RETRY_INTERVAL_SECONDS)

    def change_voters(self, add, remove, timeout_seconds):
        """Propose adding or removing one voter by host name."""
        if bool(add) == bool(remove):
            return Unavailable(reason="name one voter to add or to remove")
        data = msgpack.packb([add, remove])
        return self.propose(EntryKind.CONFIGURATION, data, timeout_seconds)

    def confirm_read(self, timeout_seconds):
        """Return ReadConfirmed or ReadUnavailable within the timeout."""
        deadline = time.monotonic() + timeout_seconds
        index = None
        while index is None:
            index = self._read_index_once(deadline)
            if index is None:
                if time.monotonic() + RETRY_INTERVAL_SECONDS >= deadline:
                    return ReadUnavailable(reason=self._no_leader_reason())
                eventlet.sleep(RETRY_INTERVAL_SECONDS)
        remaining_seconds = max(0.0, deadline - time.monotonic())
        if self._driver.wait_until_applied(index, remaining_seconds):
            return ReadConfirmed(index=index)
        return ReadUnavailable(reason=f"entry {index} is not applied yet")

    def serve(self, member_id, request):
        """Process another replica's request in the background."""
        match request:
            case ProposeRequest():
                eventlet.spawn(self._serve_proposal, member_id, request)
            case ReadRequest():
                eventlet.spawn(self._serve_read, member_id, request)

    def receive_reply(self, reply):
        """Pass a reply to its waiter, or drop it if that has timed out."""
        reply_event = self._reply_events_by_id.pop(reply.request_id, None)
        if reply_event is not None:
            reply_event.send(reply)

    def _is_working_leader(self):
        """Return whether this replica leads and has not failed."""
        leads = self._driver.core.leader_id == self._own_id
        return leads and self._driver.error is None

    def _no_leader_reason(self):
        if self._driver.error is not None:
            return f"this replica failed: {self._driver.error}"
        return NO_LEADER_REASON

    def _propose_once(self, kind, data, deadline):
        """Return an outcome, or None if the proposal reached no leader."""
        leader_id = self._driver.core.leader_id
        if self._is_working_leader():
            return self._propose_locally(kind, data, deadline)
        if self._driver.error is not None or not leader_id:
            return None
        return self._forward(leader_id, kind, data, deadline)

    def _propose_locally(self, kind, data, deadline):
        if kind == EntryKind.CONFIGURATION:
            return self._change_voters_locally(data, deadline)
        reason = self._driver.refusal(data)
        if reason:
            return Unavailable(reason=reason)
        outcome_event = self._driver.propose(kind, data)
        return self._await_outcome(outcome_event, deadline)

    def _await_outcome(self, outcome_event, deadline):
        if outcome_event is None:
            return None
        outcome = outcome_event.wait(max(0.0, deadline - time.monotonic()))
        if outcome is not None:
            return outcome
        self._driver.stop_waiting(outcome_event)
        return Unknown(reason="no quorum acknowledged the entry in time")

    def _change_voters_locally(self, data, deadline):
        """Append the change once it is allowed.

        Returns Unavailable if it is not allowed by the deadline, and None if
        this replica stops being the leader.
        """
        core = self._driver.core
        add, remove = msgpack.unpackb(data)
        while core.role == Role.LEADER:
            entry, reason = core.change_voters(add, remove, time.monotonic())
            if entry is not None:
                outcome_event = self._driver.wait_for(entry)
                return self._await_outcome(outcome_event, deadline)
            if time.monotonic() >= deadline:
                return Unavailable(reason=reason)
            eventlet.sleep(RETRY_INTERVAL_SECONDS)
        return None

    def _forward(self, leader_id, kind, data, deadline):
        remaining_seconds = max(0.0, deadline - time.monotonic())
        reply = self._request(
            leader_id,
            lambda request_id: ProposeRequest(
                request_id=request_id,
                kind=int(kind),
                data=data,
                timeout_ms=int(remaining_seconds * 1000),
            ),
            remaining_seconds,
        )
        if reply is None:
            return None
        if reply is _NO_REPLY:
            return Unknown(reason="the leader did not reply in time")
        return _to_outcome(reply)

    def _request(self, leader_id, make_request, timeout_seconds):
        """Send a request to the leader and return the reply.

        Returns None if the request was not sent, and _NO_REPLY if no reply
        came in time.
        """
        request_id = next(self._request_ids)
        reply_event = event.Event()
        self._reply_events_by_id[request_id] = reply_event
        if not self._send(leader_id, make_request(request_id)):
            del self._reply_events_by_id[request_id]
            return None
        reply = reply_event.wait(timeout_seconds)
        self._reply_events_by_id.pop(request_id, None)
        return _NO_REPLY if reply is None else reply

    def _read_index_once(self, deadline):
        """Return the confirmed commit index, or None if none is confirmed."""
        leader_id = self._driver.core.leader_id
        remaining_seconds = max(0.0, deadline - time.monotonic())
        if self._is_working_leader():
            return self._read_index_locally(remaining_seconds)
        if self._driver.error is not None or not leader_id:
            return None
        reply = self._request(
            leader_id,
            lambda request_id: ReadRequest(request_id=request_id),
            remaining_seconds,
        )
        if reply is None or reply is _NO_REPLY or not reply.confirmed:
            return None
        return reply.index

    def _read_index_locally(self, timeout_seconds):
        token = event.Event()
        self._driver.core.request_read(token, time.monotonic())
        self._driver.wake()
        return token.wait(timeout_seconds)

    def _serve_proposal(self, member_id, request):
        seconds = min(request.timeout_ms / 1000, MAX_FORWARDED_SECONDS)
        outcome = None
        if self._is_working_leader() and request.kind in PROPOSABLE_KINDS:
            outcome = self._propose_locally(
                request.kind, request.data, time.monotonic() + seconds
            )
        self._send(member_id, _to_reply(request.request_id, outcome))

    def _serve_read(self, member_id, request):
        index = None
        if self._is_working_leader():
            index = self._read_index_locally(MAX_FORWARDED_SECONDS)
        reply = ReadReply(
            request_id=request.request_id,
            confirmed=index is not None,
            index=index or 0,
        )
        self._send(member_id, reply)


_NO_REPLY = object()


def _to_reply(request_id, outcome):
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


def _to_outcome(reply):
    """Return the outcome in a reply; None if its sender does not lead."""
    match reply.outcome:
        case OutcomeCode.COMMITTED:
            position = Position(term=reply.epoch, index=reply.index)
            return Committed(position=position, result=reply.result)
        case OutcomeCode.UNAVAILABLE:
            return Unavailable(reason=reply.reason)
        case OutcomeCode.UNKNOWN:
            return Unknown(reason=reply.reason)
    return None

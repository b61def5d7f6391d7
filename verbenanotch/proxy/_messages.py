"""Messages between proxies.

A body of up to `CHUNK_BYTES` travels in the frame that opens it. The rest of
a longer one follows in BodyChunk frames, under the window of its stream, up
to the length declared by `body_bytes`.
"""

import attrs

from verbenanotch.proxy._outcome import Answered, Call, NotRun, Unknown
from verbenanotch.routing import CrashNotice, TargetLoad
from verbenanotch.wire import message

MICROSECONDS_PER_SECOND = 1_000_000


@message(400)
@attrs.frozen(kw_only=True)
class Forward:
    """Run a call at a target of the receiving host.

    Stream ids grow by one on a connection and are never used again.
    """

    stream_id: int
    body_bytes: int
    call: Call


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """A TargetLoad on its way; `busy` is negative if it is not known."""

    busy: int
    service_us: int


UNKNOWN_LOAD = ReportedLoad(busy=-1, service_us=0)


@message(401)
@attrs.frozen(kw_only=True)
class ForwardAnswered:
    """The target's answer to a forwarded call."""

    stream_id: int
    body_bytes: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    load: ReportedLoad = UNKNOWN_LOAD


@message(402)
@attrs.frozen(kw_only=True)
class ForwardNotRun:
    """The forwarded call did not touch the target."""

    stream_id: int
    reason: str
    retry_after_ms: int
    load: ReportedLoad = UNKNOWN_LOAD


@message(403)
@attrs.frozen(kw_only=True)
class ForwardUnknown:
    """The forwarded call may have run."""

    stream_id: int
    reason: str
    load: ReportedLoad = UNKNOWN_LOAD


@message(404)
@attrs.frozen(kw_only=True)
class BodyChunk:
    """The next bytes of the body of a stream."""

    stream_id: int
    data: bytes


@message(405)
@attrs.frozen(kw_only=True)
class WindowUpdate:
    """The receiver of a body takes `size` bytes more."""

    stream_id: int
    size: int


@message(406)
@attrs.frozen(kw_only=True)
class Cancel:
    """Nobody waits for the reply of a stream any more."""

    stream_id: int


@message(407)
@attrs.frozen(kw_only=True)
class GoAway:
    """The sender stops soon; open no more streams, wait for the open ones."""

    reason: str


@message(408)
@attrs.frozen(kw_only=True)
class Ping:
    """Ask for a Pong of the same number."""

    number: int


@message(409)
@attrs.frozen(kw_only=True)
class Pong:
    """The process that received a Ping is running."""

    number: int


@message(410)
@attrs.frozen(kw_only=True)
class RecordAsk:
    """Ask a holder of records; `item` is an encoded message."""

    stream_id: int
    service: str
    item: bytes


@message(411)
@attrs.frozen(kw_only=True)
class RecordReply:
    """What the holder replies; `item` is an encoded message."""

    stream_id: int
    item: bytes


@message(412)
@attrs.frozen(kw_only=True)
class TargetCrashed:
    """A target of the sender died while it ran a request."""

    notice: CrashNotice


@message(413)
@attrs.frozen(kw_only=True)
class TargetReport:
    """What a target of the sender says of itself.

    `load_percent` is the share of its slots in use.
    """

    target_id: str
    load_percent: int
    healthy: bool


def reply_of(stream_id, outcome, *, inline_bytes):
    """Return the message that carries an outcome.

    At most `inline_bytes` of an answer's body go into it.
    """
    match outcome:
        case Answered(status=status, headers=headers, body=body):
            return ForwardAnswered(
                stream_id=stream_id,
                body_bytes=len(body),
                status=status,
                headers=headers,
                body=body[:inline_bytes],
                load=_reported(outcome.load),
            )
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            return ForwardNotRun(
                stream_id=stream_id,
                reason=reason,
                retry_after_ms=retry_after_ms,
                load=_reported(outcome.load),
            )
        case Unknown(reason=reason):
            return ForwardUnknown(
                stream_id=stream_id,
                reason=reason,
                load=_reported(outcome.load),
            )


def outcome_of(reply):
    """Return the outcome that a message carries, with a whole body."""
    match reply:
        case ForwardAnswered(status=status, headers=headers, body=body):
            return Answered(
                status=status,
                headers=headers,
                body=body,
                load=_target_load(reply.load),
            )
        case ForwardNotRun(reason=reason, retry_after_ms=retry_after_ms):
            return NotRun(
                reason=reason,
                retry_after_ms=retry_after_ms,
                load=_target_load(reply.load),
            )
        case ForwardUnknown(reason=reason):
            return Unknown(reason=reason, load=_target_load(reply.load))


def _reported(load):
    if load is None:
        return UNKNOWN_LOAD
    return ReportedLoad(
        busy=load.busy,
        service_us=int(load.service_seconds * MICROSECONDS_PER_SECOND),
    )


def _target_load(reported):
    if reported.busy < 0:
        return None
    return TargetLoad(
        busy=reported.busy,
        service_seconds=reported.service_us / MICROSECONDS_PER_SECOND,
    )

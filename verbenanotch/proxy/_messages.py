"""Messages between proxies.

The frame that opens a stream carries the first `CHUNK_BYTES` of the body. The
rest of a longer body follows in BodyChunk frames, limited by the stream's
flow-control window, up to the length that `body_bytes` declares.
"""

import attrs

from verbenanotch.crashes import CrashRecord
from verbenanotch.proxy._outcome import (
    MRPS_PER_RPS,
    Answered,
    Call,
    NotRun,
    Unknown,
    to_mrps,
)
from verbenanotch.routing import TargetLoad
from verbenanotch.wire import message

MICROSECONDS_PER_SECOND = 1_000_000


@message(400)
@attrs.frozen(kw_only=True)
class Forward:
    """Run a call at a target of the receiving host.

    Stream ids increase by one on a connection and are never reused.
    """

    stream_id: int
    body_bytes: int
    call: Call


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """A TargetLoad in wire format; `busy` is negative if the load is unknown.

    `service_us` is in microseconds, `limit_mrps` and `share_mrps` are in
    thousandths of a request per second. `pace_percent` is 0 if the target
    tells no pace; `usual_us` is then 0, too, and so is `reported_ms`.
    """

    busy: int
    service_us: int
    limit_mrps: int = 0
    share_mrps: int = 0
    is_leaving: bool = False
    pace_percent: int = 0
    usual_us: int = 0
    reported_ms: int = 0


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
    """The forwarded call did not reach the target."""

    stream_id: int
    reason: str
    retry_after_ms: int
    load: ReportedLoad = UNKNOWN_LOAD


@message(403)
@attrs.frozen(kw_only=True)
class ForwardUnknown:
    """The forwarded call may have run; `crashes` is as in Unknown."""

    stream_id: int
    reason: str
    crashes: tuple[CrashRecord, ...] = ()
    load: ReportedLoad = UNKNOWN_LOAD


@message(404)
@attrs.frozen(kw_only=True)
class BodyChunk:
    """The next bytes of a stream's body."""

    stream_id: int
    data: bytes


@message(405)
@attrs.frozen(kw_only=True)
class WindowUpdate:
    """The sender of a body may send `size` more bytes."""

    stream_id: int
    size: int


@message(406)
@attrs.frozen(kw_only=True)
class Cancel:
    """The reply to a stream is no longer needed."""

    stream_id: int


@message(414)
@attrs.frozen(kw_only=True)
class Withdraw:
    """Refuse the call of a stream unless its target has got it already.

    The reply follows as ever. The sender stops before the call would end.
    """

    stream_id: int


@message(407)
@attrs.frozen(kw_only=True)
class GoAway:
    """The sender is shutting down: open no more streams.

    Replies to the streams that are open still follow.
    """

    reason: str


@message(408)
@attrs.frozen(kw_only=True)
class Ping:
    """Request a Pong with the same number."""

    number: int


@message(409)
@attrs.frozen(kw_only=True)
class Pong:
    """The reply to the Ping with the same number."""

    number: int


@message(410)
@attrs.frozen(kw_only=True)
class RecordRequest:
    """A request to a record holder.

    `payload` is an encoded message of the package `idempotency`.
    """

    stream_id: int
    service: str
    payload: bytes


@message(411)
@attrs.frozen(kw_only=True)
class RecordReply:
    """A record holder's reply; `payload` is as in RecordRequest."""

    stream_id: int
    payload: bytes


@message(413)
@attrs.frozen(kw_only=True)
class TargetReport:
    """Health and load of a target on the sender's host, from a probe.

    `load_percent` is the share of its slots in use; it may exceed 100.
    """

    target_id: str
    load_percent: int
    healthy: bool


def reply_from_outcome(stream_id, outcome, *, inline_bytes):
    """Return the reply message for an outcome.

    It contains at most `inline_bytes` of an answer's body.
    """
    match outcome:
        case Answered(status=status, headers=headers, body=body):
            return ForwardAnswered(
                stream_id=stream_id,
                body_bytes=len(body),
                status=status,
                headers=headers,
                body=body[:inline_bytes],
                load=_reported_load(outcome.load),
            )
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            return ForwardNotRun(
                stream_id=stream_id,
                reason=reason,
                retry_after_ms=retry_after_ms,
                load=_reported_load(outcome.load),
            )
        case Unknown(reason=reason, crashes=crashes):
            return ForwardUnknown(
                stream_id=stream_id,
                reason=reason,
                crashes=crashes,
                load=_reported_load(outcome.load),
            )


def outcome_from_reply(reply):
    """Return the outcome in a reply message that has its complete body."""
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
        case ForwardUnknown(reason=reason, crashes=crashes):
            return Unknown(
                reason=reason, crashes=crashes, load=_target_load(reply.load)
            )


def _reported_load(load):
    if load is None:
        return UNKNOWN_LOAD
    return ReportedLoad(
        busy=load.busy,
        service_us=int(load.service_seconds * MICROSECONDS_PER_SECOND),
        limit_mrps=to_mrps(load.limit),
        share_mrps=to_mrps(load.share),
        is_leaving=load.is_leaving,
        pace_percent=load.pace_percent,
        usual_us=int(load.usual_seconds * MICROSECONDS_PER_SECOND),
        reported_ms=load.reported_ms,
    )


def _target_load(reported):
    if reported.busy < 0:
        return None
    return TargetLoad(
        busy=reported.busy,
        service_seconds=reported.service_us / MICROSECONDS_PER_SECOND,
        limit=reported.limit_mrps / MRPS_PER_RPS,
        share=reported.share_mrps / MRPS_PER_RPS,
        is_leaving=reported.is_leaving,
        pace_percent=reported.pace_percent,
        usual_seconds=reported.usual_us / MICROSECONDS_PER_SECOND,
        reported_ms=reported.reported_ms,
    )

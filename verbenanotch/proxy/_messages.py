"""Messages between proxies."""

import attrs

from verbenanotch.proxy._outcome import Answered, Call, NotRun, Unknown
from verbenanotch.wire import message


@message(400)
@attrs.frozen(kw_only=True)
class Forward:
    """Run a call at a target of the receiving host."""

    stream_id: int
    call: Call


@message(401)
@attrs.frozen(kw_only=True)
class ForwardAnswered:
    """The target's answer to a forwarded call."""

    stream_id: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@message(402)
@attrs.frozen(kw_only=True)
class ForwardNotRun:
    """The forwarded call did not touch the target."""

    stream_id: int
    reason: str
    retry_after_ms: int


@message(403)
@attrs.frozen(kw_only=True)
class ForwardUnknown:
    """The forwarded call may have run."""

    stream_id: int
    reason: str


def reply_of(stream_id, outcome):
    """Return the message that carries an outcome."""
    match outcome:
        case Answered(status=status, headers=headers, body=body):
            return ForwardAnswered(
                stream_id=stream_id, status=status, headers=headers, body=body
            )
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            return ForwardNotRun(
                stream_id=stream_id,
                reason=reason,
                retry_after_ms=retry_after_ms,
            )
        case Unknown(reason=reason):
            return ForwardUnknown(stream_id=stream_id, reason=reason)


def outcome_of(reply):
    """Return the outcome that a message carries."""
    match reply:
        case ForwardAnswered(status=status, headers=headers, body=body):
            return Answered(status=status, headers=headers, body=body)
        case ForwardNotRun(reason=reason, retry_after_ms=retry_after_ms):
            return NotRun(reason=reason, retry_after_ms=retry_after_ms)
        case ForwardUnknown(reason=reason):
            return Unknown(reason=reason)

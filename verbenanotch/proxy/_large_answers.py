"""Sends large answers to other proxies in turn, as fast as the link allows."""

import time

import eventlet

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._body_frames import CHUNK_BYTES, send_remaining_chunks
from verbenanotch.proxy._outcome import Answered, NotRun
from verbenanotch.routing import LinkPacer, RouteSizes
from verbenanotch.telemetry import metrics

MILLISECONDS_PER_SECOND = 1000
# Frames of a paced answer are as short as this, so that a small answer waits
# behind no more of it.
PACED_CHUNK_BYTES = 8 * 1024


class LargeAnswers:
    """The large answers that this host sends to other proxies.

    An answer is large if it does not fit into one frame. Without a known link
    they are sent at once.
    """

    def __init__(self, *, link_mbps):
        """Use a link of `link_mbps` million bits per second; 0: unknown."""
        self._is_paced = bool(link_mbps)
        self._pacer = LinkPacer(link_mbps=link_mbps)
        self._sizes = RouteSizes()

    def refusal(self, call, deadline):
        """Return NotRun if a call's answer could not be sent in time.

        Other large answers that are ready would occupy the link until after
        the `deadline`, in monotonic seconds. An idle link refuses nothing:
        the expected size changes only with answers.
        """
        if not self._is_paced:
            return None
        size = self._sizes.expected(call.route_name, 0)
        if size <= CHUNK_BYTES:
            return None
        now = time.monotonic()
        if self._has_time_for(size, deadline, now):
            return None
        metrics.increment(f"proxy.refused.{reasons.LINK_FULL}")
        backlog_seconds = self._pacer.backlog_seconds(now)
        return NotRun(
            reason=reasons.LINK_FULL,
            retry_after_ms=int(backlog_seconds * MILLISECONDS_PER_SECOND) + 1,
        )

    def inline_bytes(self, body):
        """Return how much of a body its opening frame carries."""
        if self._is_paced and len(body) > CHUNK_BYTES:
            return PACED_CHUNK_BYTES
        return CHUNK_BYTES

    def observe(self, call, outcome):
        """Record the size of an answer, to expect that of the next ones."""
        match outcome:
            case Answered(body=body) if self._is_paced:
                self._sizes.observe(call.route_name, len(body))

    def send(self, connection, *, stream_id, body, window, deadline):
        """Send what did not fit into the opening frame of an answer.

        An answer that other answers delay beyond its deadline is dropped:
        nobody waits for it any more.
        """
        if not self._is_paced:
            send_remaining_chunks(
                connection,
                stream_id=stream_id,
                body=body,
                window=window,
                deadline=deadline,
            )
            return
        now = time.monotonic()
        if not self._has_time_for(len(body), deadline, now):
            metrics.increment("proxy.large_answers_dropped")
            return
        wait_seconds = self._pacer.reserve(len(body), now)
        metrics.timing(
            "proxy.link_wait_ms", wait_seconds * MILLISECONDS_PER_SECOND
        )
        eventlet.sleep(wait_seconds)
        send_remaining_chunks(
            connection,
            stream_id=stream_id,
            body=body,
            window=window,
            deadline=deadline,
            sent_bytes=PACED_CHUNK_BYTES,
            chunk_bytes=PACED_CHUNK_BYTES,
            pause_seconds=self._pacer.seconds_for(PACED_CHUNK_BYTES),
        )

    def _has_time_for(self, size, deadline, now):
        """Return whether the link is idle or an answer arrives in time.

        On an idle link an answer may be faster than its pace.
        """
        return not self._pacer.backlog_seconds(
            now
        ) or self._pacer.arrives_in_time(
            size, ready_at=now, deadline=deadline, now=now
        )

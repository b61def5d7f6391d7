"""Sends large answers in turn, as fast as the host's link allows."""

import contextlib
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
    """The large answers that this host sends to other proxies and callers.

    An answer is large if it does not fit into one frame. Without a known link
    they are sent at once.
    """

    def __init__(self, *, link_mbps):
        """Use a link of `link_mbps` million bits per second; 0: unknown."""
        self._is_paced = bool(link_mbps)
        self._pacer = LinkPacer(link_mbps=link_mbps)
        self._sizes = RouteSizes()

    def expected_bytes(self, call):
        """Return the size of a call's answer if that is expected to be large.

        0 stands for a small answer, and for any without a known link.
        """
        if not self._is_paced:
            return 0
        size = self._sizes.expected(call.route_name, 0)
        return size if size > CHUNK_BYTES else 0

    def refusal(self, size, deadline):
        """Return NotRun if an answer of `size` bytes could not be in time.

        Other large answers, ready or expected, would occupy the link until
        after the `deadline`, in monotonic seconds. An idle link refuses
        nothing: the expected size changes only with answers.
        """
        if not size:
            return None
        now = time.monotonic()
        busy_seconds = self._pacer.busy_seconds(now)
        if not busy_seconds or self._pacer.can_be_in_time(
            size, deadline=deadline, now=now
        ):
            return None
        metrics.increment(f"proxy.refused.{reasons.LINK_FULL}")
        return NotRun(
            reason=reasons.LINK_FULL,
            retry_after_ms=int(busy_seconds * MILLISECONDS_PER_SECOND) + 1,
        )

    @contextlib.contextmanager
    def expecting(self, size):
        """Count an answer of `size` bytes while its target is making it."""
        self._pacer.expect(size)
        try:
            yield
        finally:
            self._pacer.stop_expecting(size)

    def wait_for_caller(self, outcome, deadline):
        """Wait until the link is free for a large answer to a caller.

        An answer whose turn would come too late is not held back.
        """
        match outcome:
            case Answered(body=body) if (
                self._is_paced and len(body) > CHUNK_BYTES
            ):
                now = time.monotonic()
                in_time = self._pacer.is_ready_in_time(
                    len(body), deadline=deadline, now=now
                )
                wait_seconds = self._pacer.reserve(len(body), now)
                if in_time:
                    eventlet.sleep(wait_seconds)

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
        if self._is_paced:
            now = time.monotonic()
            if not self._has_time_for(len(body), deadline, now):
                metrics.increment("proxy.large_answers_dropped")
                return
            wait_seconds = self._pacer.reserve(len(body), now)
            metrics.timing(
                "proxy.link_wait_ms", wait_seconds * MILLISECONDS_PER_SECOND
            )
            eventlet.sleep(wait_seconds)
        chunk_bytes = self.inline_bytes(body)
        send_remaining_chunks(
            connection,
            stream_id=stream_id,
            body=body,
            window=window,
            deadline=deadline,
            sent_bytes=chunk_bytes,
            chunk_bytes=chunk_bytes,
            pause_seconds=self._pacer.seconds_for(chunk_bytes),
        )

    def _has_time_for(self, size, deadline, now):
        """Return whether the link is idle or a ready answer is in time.

        On an idle link an answer may be faster than its pace.
        """
        return not self._pacer.backlog_seconds(
            now
        ) or self._pacer.is_ready_in_time(size, deadline=deadline, now=now)

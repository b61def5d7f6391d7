"""The end of a connection behind its last answer.

Closing a connection with unread bytes resets it, and a reset discards answers
that the client has not read yet. So what it still sends is read first.
"""

import contextlib
import time

from verbenanotch import loop

LINGER_SECONDS = 1.0


def linger(sock):
    """Read what the client sends, and drop it, until it ends the stream.

    Returns after LINGER_SECONDS in any case.
    """
    end = time.monotonic() + LINGER_SECONDS
    with contextlib.suppress(OSError, ValueError):
        while (remaining := end - time.monotonic()) > 0:
            sock.settimeout(remaining)
            if not sock.recv(loop.MAX_JOINED_BYTES):
                return

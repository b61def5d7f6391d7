"""One health request to a target, on a connection of its own."""

import eventlet

from verbenanotch.proxy._target_connection import TargetConnections


def request_health(*, address, port, path, timeout_seconds):
    """Return the head of a target's answer to a health request.

    It has a `status` and `headers`. Raises eventlet.Timeout, or one of
    TARGET_FAILURES.
    """
    connections = TargetConnections(address=address, port=port, max_idle=0)
    connection = None
    try:
        with eventlet.Timeout(timeout_seconds):
            connection = connections.connect(timeout_seconds=timeout_seconds)
            host = f"{address}:{port}"
            connection.send_request("GET", path, (("Host", host),), b"")
            return connection.read_answer("GET")
    finally:
        if connection is not None:
            connection.close()

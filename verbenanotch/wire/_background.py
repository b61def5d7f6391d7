"""Sending without waiting for a peer that does not read."""

import contextlib

import eventlet

from verbenanotch.wire.exceptions import WireError


def send_in_background(connection, message):
    """Send a message from a greenthread of its own.

    A connection that does not read delays no other; one that has ended loses
    the message.
    """
    eventlet.spawn_n(_send_if_connected, connection, message)


def _send_if_connected(connection, message):
    with contextlib.suppress(WireError):
        connection.send(message)

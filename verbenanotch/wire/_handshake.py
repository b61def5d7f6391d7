"""Mutual authentication of two peers with a shared key.

Each side sends a hello with a random challenge, then an HMAC-SHA256 over its
role, its hello and the peer's hello. Neither side sends a message before it
has verified the peer's MAC.
"""

import enum
import hashlib
import hmac
import os

import msgpack

from verbenanotch.wire.exceptions import (
    AuthenticationFailedError,
    MalformedFrameError,
    ProtocolVersionMismatchError,
)

PROTOCOL_NAME = "verbenanotch"
PROTOCOL_VERSION = 2
CHALLENGE_BYTES = 16


class Purpose(enum.StrEnum):
    """Purpose of a connection, which determines the listener's handler."""

    REPLICATION = "replication"
    ZONE = "zone"
    DISTRIBUTION = "distribution"
    REQUEST = "request"


def perform_handshake(connection, *, key, name, purpose, role):
    """Authenticate both sides; return the peer's name and purpose.

    `role` is `dialer` or `listener`. Only the dialer gives a `purpose`; the
    listener passes the empty string. Raises AuthenticationFailedError,
    MalformedFrameError or ProtocolVersionMismatchError.
    """
    challenge = os.urandom(CHALLENGE_BYTES)
    hello = [PROTOCOL_NAME, PROTOCOL_VERSION, name, str(purpose), challenge]
    connection.send_plain(hello)
    peer_hello = _validated_hello(connection.receive_plain())
    peer_role = "listener" if role == "dialer" else "dialer"
    connection.send_plain(_mac(key, role, hello, peer_hello))
    expected = _mac(key, peer_role, peer_hello, hello)
    peer_mac = connection.receive_plain()
    if not isinstance(peer_mac, bytes) or not hmac.compare_digest(
        peer_mac, expected
    ):
        raise AuthenticationFailedError(
            f"peer {peer_hello[2]!r} does not have the shared key; "
            "set the same peer key on every host"
        )
    return peer_hello[2], peer_hello[3]


def _validated_hello(value):
    match value:
        case [str(protocol), int(version), str(), str(), bytes()]:
            if protocol == PROTOCOL_NAME:
                _check_version(version)
                return value
    raise MalformedFrameError(
        "peer did not send a hello of this protocol; "
        "check what connects to this port"
    )


def _check_version(version):
    if version != PROTOCOL_VERSION:
        raise ProtocolVersionMismatchError(
            f"peer uses protocol version {version}, this host "
            f"{PROTOCOL_VERSION}; run the same release on every host"
        )


def _mac(key, role, own_hello, peer_hello):
    authenticated = msgpack.packb([role, own_hello, peer_hello])
    return hmac.new(key, authenticated, hashlib.sha256).digest()

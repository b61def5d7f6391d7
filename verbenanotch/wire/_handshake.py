"""Mutual authentication of two peers by a shared key.

Each side sends a greeting with a random challenge, then an HMAC-SHA256 over
both challenges, its role and its greeting. Neither sends a message before
it has checked the other's proof.
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
    """What a connection is for; the listener dispatches by it."""

    REPLICATION = "replication"
    ZONE = "zone"
    DISTRIBUTION = "distribution"
    REQUEST = "request"


def greet(connection, *, key, name, purpose, role):
    """Authenticate both sides; return the peer's name and purpose.

    `role` is `dialer` or `listener`. `purpose` is the dialer's; a listener
    passes the empty string. Raises AuthenticationFailedError,
    MalformedFrameError or ProtocolVersionMismatchError.
    """
    challenge = os.urandom(CHALLENGE_BYTES)
    greeting = [PROTOCOL_NAME, PROTOCOL_VERSION, name, str(purpose), challenge]
    connection.send_plain(greeting)
    peer_greeting = _checked_greeting(connection.receive_plain())
    peer_role = "listener" if role == "dialer" else "dialer"
    connection.send_plain(_proof(key, role, greeting, peer_greeting))
    expected = _proof(key, peer_role, peer_greeting, greeting)
    proof = connection.receive_plain()
    if not isinstance(proof, bytes) or not hmac.compare_digest(
        proof, expected
    ):
        raise AuthenticationFailedError(
            f"peer {peer_greeting[2]!r} does not hold the shared key; "
            "set the same peer key on every host"
        )
    return peer_greeting[2], peer_greeting[3]


def _checked_greeting(value):
    match value:
        case [str(protocol), int(version), str(), str(), bytes()]:
            if protocol == PROTOCOL_NAME:
                _check_version(version)
                return value
    raise MalformedFrameError(
        "peer did not greet in the project's protocol; "
        "check what connects to this port"
    )


def _check_version(version):
    if version != PROTOCOL_VERSION:
        raise ProtocolVersionMismatchError(
            f"peer speaks protocol version {version}, this host "
            f"{PROTOCOL_VERSION}; run the same release on every host"
        )


def _proof(key, role, own_greeting, peer_greeting):
    signed = msgpack.packb([role, own_greeting, peer_greeting])
    return hmac.new(key, signed, hashlib.sha256).digest()

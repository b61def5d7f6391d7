"""Reserve a separate loopback network for each concurrent test run."""

import os
import socket

MIN_SECOND_OCTET = 16
SECOND_OCTET_COUNT = 200
RESERVATION_PORT = 7099


def reserve_network():
    """Reserve a network 127.OCTET.0.0/16 that no other run uses.

    Returns the octet and a socket; closing the socket frees the network.
    """
    for attempt in range(SECOND_OCTET_COUNT):
        octet = MIN_SECOND_OCTET + (os.getpid() + attempt) % SECOND_OCTET_COUNT
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{octet}.255.254", RESERVATION_PORT))
            reservation.listen()
        except OSError:
            reservation.close()
            continue
        return octet, reservation
    raise RuntimeError("no loopback network is free; end other test runs")


def accepts_connections(address, port):
    """Return whether a TCP connection to the port is accepted."""
    try:
        socket.create_connection((address, port), 1.0).close()
    except OSError:
        return False
    return True

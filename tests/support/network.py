"""Reserve a separate loopback network for each concurrent test run."""

import os
import socket

FIRST_OCTET = 16
OCTETS = 200
RESERVATION_PORT = 7099


def reserve_network():
    """Return a second octet that no other run uses, and its reservation.

    The network is free again once the returned socket is closed.
    """
    for attempt in range(OCTETS):
        octet = FIRST_OCTET + (os.getpid() + attempt) % OCTETS
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{octet}.255.254", RESERVATION_PORT))
            reservation.listen()
        except OSError:
            reservation.close()
            continue
        return octet, reservation
    raise RuntimeError("no loopback network is free; end other test runs")


def accepts(address, port):
    """Return whether a TCP connection to the port is accepted."""
    try:
        socket.create_connection((address, port), 1.0).close()
    except OSError:
        return False
    return True

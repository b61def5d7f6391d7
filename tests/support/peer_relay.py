"""Relay in front of a peer port, with separate faults per dialler."""

import contextlib
import socket

import eventlet
import msgpack

from tests.support.fault_proxy import CHUNK_BYTES, POLL_SECONDS, FaultProxy

HELLO_TIMEOUT_SECONDS = 5.0
HELLO_NAME_INDEX = 2


class PeerRelay:
    """Relay each connection through the FaultProxy of its dialler.

    The dialler's name is read from its hello, which is not encrypted.
    """

    def __init__(self, *, listen_address, address, port):
        """Start to relay from a free port of `listen_address`."""
        self._destination = {"address": address, "port": port}
        self._listener = eventlet.listen((listen_address, 0))
        self.listen_address, self.port = self._listener.getsockname()
        self._links_by_name = {}
        self._greenthreads = [eventlet.spawn(self._accept_forever)]

    def link(self, name):
        """Return the FaultProxy for connections from a host."""
        if name not in self._links_by_name:
            self._links_by_name[name] = FaultProxy(
                listen_address=self.listen_address, **self._destination
            )
        return self._links_by_name[name]

    def stop(self):
        """Stop listening and close every connection."""
        for greenthread in self._greenthreads:
            greenthread.kill()
        self._listener.close()
        for link in self._links_by_name.values():
            link.stop()

    def _accept_forever(self):
        while True:
            try:
                dialler, _ = self._listener.accept()
            except OSError:
                return
            self._greenthreads.append(eventlet.spawn(self._dispatch, dialler))

    def _dispatch(self, dialler):
        name = None
        with contextlib.suppress(OSError):
            name = eventlet.with_timeout(
                HELLO_TIMEOUT_SECONDS, _peek_name, dialler, timeout_value=None
            )
        if name is None:
            dialler.close()
        else:
            self.link(name).handle_connection(dialler)


def _peek_name(sock):
    """Return the name in the hello without consuming it.

    Returns None if the connection ends before the hello.
    """
    while True:
        data = sock.recv(CHUNK_BYTES, socket.MSG_PEEK)
        if not data:
            return None
        unpacker = msgpack.Unpacker()
        unpacker.feed(data)
        for hello in unpacker:
            return hello[HELLO_NAME_INDEX]
        eventlet.sleep(POLL_SECONDS)

"""A stand-in for an upstream, as the platform's pages describe one."""

import contextlib
import json
import secrets
import socket
import threading
import time

from mesh import call

HEARTBEAT_SECONDS = 1.5
ACK_SECONDS = 1.0


class Upstream:
    """Serve requests at the address of a proxy's machine.

    `work(path)` returns how many seconds a request takes. At most `slots` run
    at once, four times as many wait. `runs` has an entry for each request that
    began to run: its id, its caller, when it began and how it ended.
    """

    def __init__(self, *, mesh, proxy, slots, work, record, name=None):
        """Listen at once; `announce` makes the system use the upstream."""
        self.proxy = proxy
        self.slots = slots
        self.runs = []
        self.arrivals = []
        self.record = record
        self.id = name or f"i-{secrets.token_hex(4)}"
        self.is_leaving = False
        self._mesh = mesh
        self._work = work
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._lock = threading.Lock()
        self._free = threading.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._connections = set()
        self._ended = threading.Event()
        self._beats = None
        self._listener = socket.create_server(
            (proxy.address, mesh.app_port), backlog=128
        )
        threading.Thread(target=self._accept, daemon=True).start()

    def announce(self):
        """Send liveness reports from now on."""
        self._beats = threading.Event()
        threading.Thread(target=self._beat, daemon=True).start()

    def report(self, state):
        """Send one liveness report; return its status or None."""
        return self.prepare_report(state)()

    def prepare_report(self, state):
        """Return a function that sends a liveness report made now."""
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        body = {
            "Service": self.proxy.fields["Service"],
            "Addr": f"{self.proxy.address}:{self._mesh.app_port}",
            "Zone": self.proxy.fields["Zone"],
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdLeftS": 0,
            "Seq": sequence,
            "born": self._born,
        }
        encoded = json.dumps(body).encode()
        return lambda: self._send("PUT", encoded)

    def leave_without_draining(self):
        """Send DELETE, as upstreams do that never report draining."""
        self.is_leaving = True
        if self._beats is not None:
            self._beats.set()
        status = self._send("DELETE", b"")
        self.record.write(self.id, f"DELETE answered {status}")
        return status

    def leave(self):
        """Report draining; return the status of the answer."""
        self.is_leaving = True
        status = self.report("draining")
        self.record.write(self.id, f"draining answered {status}")
        return status

    def exit(self):
        """End: close the listener and all connections."""
        self.record.write(self.id, "exits")
        self._ended.set()
        if self._beats is not None:
            self._beats.set()
        # A close alone leaves a thread that accepts where it is.
        _shut(self._listener)
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for sock in connections:
            _shut(sock)

    def _send(self, method, body):
        try:
            status, _, _ = call(
                self.proxy.address,
                self._mesh.control_port,
                method,
                f"/instances/{self.id}",
                body=body,
                seconds=ACK_SECONDS,
            )
        except OSError:
            return None
        return status

    def _beat(self):
        while not self._beats.is_set():
            self.report("draining" if self.is_leaving else "ready")
            self._beats.wait(HEARTBEAT_SECONDS)

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self._connections.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        reader = sock.makefile("rb")
        try:
            while self._serve_one(sock, reader):
                pass
        except (OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._connections.discard(sock)
            _shut(sock)
            sock.close()

    def _serve_one(self, sock, reader):
        line = reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split()
        headers = {}
        while (line := reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = reader.read(int(headers.get("content-length", "0")))
        if path == "/healthz":
            status = 503 if self.is_leaving else 200
            self._answer(sock, status, headers, b"", health=True)
            return True
        request_id = headers.get("verbenanotch-request-id", "")
        self.arrivals.append((request_id, time.monotonic()))
        self.record.write(
            self.id,
            f"request {request_id} {method} {path} arrives,"
            f" {len(body)} bytes of body",
        )
        expected = headers.get("verbenanotch-expect-instance")
        if expected not in (None, self.id):
            self._answer(sock, 421, headers, b"")
            return True
        return self._run(sock, headers, request_id, method, path, body)

    def _run(self, sock, headers, request_id, method, path, body):
        seconds = int(headers.get("verbenanotch-deadline-ms", "60000")) / 1000
        end = time.monotonic() + seconds
        with self._lock:
            self._waiting += 1
        has_slot = self._free.acquire(timeout=seconds)
        with self._lock:
            self._waiting -= 1
            self._running += has_slot
        if not has_slot:
            self._answer(sock, 503, headers, b"", not_run=True)
            return True
        caller = headers.get("verbenanotch-caller", "")
        run = {
            "id": request_id,
            "caller": caller,
            "began": time.monotonic(),
            "end": "",
        }
        self.runs.append(run)
        self.record.write(
            self.id, f"request {request_id} of caller {caller!r} begins to run"
        )
        try:
            wanted = self._work(path)
            self._ended.wait(min(wanted, max(0, end - time.monotonic())))
            if self._ended.is_set():
                run["end"] = "broken off"
                return False
            status = 200 if time.monotonic() < end else 504
            run["end"] = str(status)
            self._answer(sock, status, headers, f"{method} {path}".encode())
            self.record.write(self.id, f"request {request_id} ends: {status}")
        finally:
            with self._lock:
                self._running -= 1
            self._free.release()
        return True

    def _answer(
        self, sock, status, headers, body, *, health=False, not_run=False
    ):
        lines = [f"HTTP/1.1 {status} Status"]
        if health:
            lines.append(f"Verbenanotch-Instance-Id: {self.id}")
        else:
            request_id = headers.get("verbenanotch-request-id", "")
            lines.append(f"Verbenanotch-Request-Id: {request_id}")
        if not (health or not_run or status == 421):
            lines.append(f"Verbenanotch-Server-Stamp: {secrets.token_hex(8)}")
        if not_run or status == 421:
            lines.append("Verbenanotch-Not-Executed: 1")
        load = f"{self._running},{self._waiting},{self.slots}"
        lines.append(f"Verbenanotch-Server-Load: {load}")
        lines.append(f"Content-Length: {len(body)}")
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def _shut(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)

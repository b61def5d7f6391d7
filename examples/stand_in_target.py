"""Stand-in for a target: serves requests and writes a ledger of its runs.

Run it with `python -m examples.stand_in_target`. It announces itself to its
local proxy every second. `POST /_control` with a JSON body changes its
Behaviour, and a request's query changes it for that request alone. On SIGTERM
it drains, finishes the requests in flight and withdraws its announcement.
"""

import os
import warnings

os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

if __name__ == "__main__":
    eventlet.monkey_patch()

import hashlib  # noqa: E402
import json  # noqa: E402
import select  # noqa: E402
import signal  # noqa: E402
import socket  # noqa: E402
import time  # noqa: E402
import urllib.parse  # noqa: E402

import attrs  # noqa: E402
import click  # noqa: E402
import urllib3  # noqa: E402
from eventlet import semaphore, wsgi  # noqa: E402

from examples.announcer import Announcer  # noqa: E402
from examples.behaviour import Behaviour, Ledger  # noqa: E402

POLL_INTERVAL_SECONDS = 0.02
MAX_DRAIN_SECONDS = 10.0
MILLISECONDS_PER_SECOND = 1000
CRASH_EXIT_CODE = 70
LIMIT_HEADER = "X-Verbenanotch-Target-Limit"
LEAVING_HEADER = "X-Verbenanotch-Target-Leaving"
LOAD_HEADER = "X-Verbenanotch-Target-Load"
ID_HEADER = "X-Verbenanotch-Target-Id"
MESH_HEADER_PREFIX = "HTTP_X_VERBENANOTCH_"
DEFAULT_CALL_TIMEOUT_MS = 2000


@attrs.frozen(kw_only=True)
class RunRequest:
    """Identity of one request, as in the ledger and in the answer."""

    request_id: str
    key: str
    method: str
    path: str
    body_sha256: str


class StandInTarget:
    """HTTP application of the target."""

    def __init__(self, *, name, slots, ledger, behaviour, mesh_entry=""):
        """Set up the target.

        `mesh_entry` is the `address:port` of the proxy for `call_on`.
        """
        self.name = name
        self.behaviour = behaviour
        self.in_flight = 0
        self._slots = slots
        self._free_slots = semaphore.Semaphore(slots)
        self._ledger = ledger
        self._mesh_entry = mesh_entry
        self._pool = urllib3.PoolManager(retries=False)

    def application(self, environ, start_response):
        """Answer one request; a WSGI callable."""

        def start_with_state(status, headers):
            return start_response(status, headers + self._state_headers())

        return self._answer(environ, start_with_state)

    def _state_headers(self):
        """Return the headers by which the target tells of its own state."""
        headers = [
            (LIMIT_HEADER, value)
            for value in self.behaviour.named_limit.split(",")
            if value
        ]
        if self.behaviour.says_leaving:
            headers.append((LEAVING_HEADER, "1"))
        if self.behaviour.told_pace:
            running = min(self.in_flight, self._slots)
            waiting = self.in_flight - running
            load = f"{running},{waiting},{self._slots}"
            headers.append((LOAD_HEADER, f"{load},{self.behaviour.told_pace}"))
        return headers

    def _answer(self, environ, start_response):
        match environ["PATH_INFO"]:
            case "/health":
                status = self.behaviour.reported_health or 200
                return _respond(
                    start_response,
                    status,
                    {"status": status},
                    [(ID_HEADER, self.name)],
                )
            case "/load":
                return _respond(start_response, 200, self._load())
            case "/_control":
                values = json.loads(environ["wsgi.input"].read() or b"{}")
                self.behaviour = self.behaviour.with_changes(values)
                return _respond(
                    start_response, 200, attrs.asdict(self.behaviour)
                )
            case _:
                return self._serve(environ, start_response)

    def _load(self):
        reported = self.behaviour.reported_in_flight
        in_flight = self.in_flight if reported < 0 else reported
        return {"in_flight": in_flight, "slots": self._slots}

    def _serve(self, environ, start_response):
        query = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
        behaviour = self.behaviour.with_changes(dict(query))
        body = environ["wsgi.input"].read()
        if len(body) < int(environ.get("CONTENT_LENGTH") or 0):
            return _respond(start_response, 400, {"kind": "body-cut"})
        if behaviour.shed_over and self.in_flight >= behaviour.shed_over:
            return _respond(start_response, 503, {"kind": "shed"})
        self.in_flight += 1
        try:
            with self._free_slots:
                return self._run(environ, start_response, behaviour, body)
        finally:
            self.in_flight -= 1

    def _run(self, environ, start_response, behaviour, body):
        request = _read_request(environ, body)
        self._ledger.write("started", request)
        marker = behaviour.crash_marker.encode()
        if marker and marker in body:
            eventlet.sleep(behaviour.crash_after_ms / MILLISECONDS_PER_SECOND)
            os._exit(CRASH_EXIT_CODE)
        if not _simulate_work(environ, behaviour):
            self._ledger.write("cancelled", request)
            return _respond(start_response, 499, {"kind": "cancelled"})
        value = attrs.asdict(request) | {
            "target": self.name,
            "account": environ.get("HTTP_X_VERBENANOTCH_ACCOUNT", ""),
        }
        if behaviour.call_on:
            value["called"] = self._call_mesh(environ, behaviour, request)
        self._ledger.write("finished", request)
        if behaviour.padding_bytes:
            value["padding"] = "x" * behaviour.padding_bytes
        status = behaviour.fail_status or 200
        if behaviour.cut_body:
            return _respond_truncated(environ, start_response, status, value)
        return _respond(start_response, status, value)

    def _call_mesh(self, environ, behaviour, request):
        """Request the path `call_on` from the mesh in the remaining time."""
        headers = _mesh_headers(environ)
        headers["X-Request-Id"] = f"{request.request_id}.{self.name}"
        remaining_ms = environ.get(
            "HTTP_X_REQUEST_TIMEOUT_MS", str(DEFAULT_CALL_TIMEOUT_MS)
        )
        headers["X-Request-Timeout-Ms"] = remaining_ms
        response = self._pool.request(
            "GET",
            f"http://{self._mesh_entry}{behaviour.call_on}",
            headers=headers,
            timeout=float(remaining_ms) / MILLISECONDS_PER_SECOND,
        )
        return {
            "status": response.status,
            "outcome": response.headers.get("X-Verbenanotch-Outcome", ""),
        }


def _mesh_headers(environ):
    """Return the mesh's own headers, which a target must pass on."""
    return {
        key.removeprefix("HTTP_").replace("_", "-").title(): value
        for key, value in environ.items()
        if key.startswith(MESH_HEADER_PREFIX)
    }


def _read_request(environ, body):
    return RunRequest(
        request_id=environ.get("HTTP_X_REQUEST_ID", ""),
        key=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        body_sha256=hashlib.sha256(body).hexdigest(),
    )


def _simulate_work(environ, behaviour):
    """Wait for the latency; return False if the client disconnects."""
    end = time.monotonic() + behaviour.latency_ms / MILLISECONDS_PER_SECOND
    while (remaining_seconds := end - time.monotonic()) > 0:
        eventlet.sleep(min(remaining_seconds, POLL_INTERVAL_SECONDS))
        if behaviour.honour_cancellation and _is_closed(environ):
            return False
    return True


def _is_closed(environ):
    """Return whether the client has closed the connection."""
    sock = environ["eventlet.input"].get_socket()
    try:
        if not _is_readable(sock):
            return False
        return sock.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


def _is_readable(sock):
    poll = eventlet.patcher.original("select").poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _respond(start_response, status, value, headers=()):
    body = json.dumps(value).encode()
    start_response(
        f"{status} Status",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def _respond_truncated(environ, start_response, status, value):
    """Announce the full length, send half the body, close the connection."""
    body = _respond(start_response, status, value)[0]
    yield body[: len(body) // 2]
    environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)


@click.command()
@click.option("--service", required=True)
@click.option("--address", required=True)
@click.option("--port", required=True, type=int)
@click.option(
    "--announced-port",
    type=int,
    help="Port of a relay in front of the target.",
)
@click.option(
    "--proxy",
    required=True,
    help="ADDRESS:PORT of the proxy's interface for targets.",
)
@click.option(
    "--mesh-entry",
    default="",
    help="ADDRESS:PORT of the proxy's interface for callers.",
)
@click.option("--slots", default=16)
@click.option("--ledger", "ledger_path", required=True)
@click.option("--behaviour", "behaviour_text", default="{}", help="JSON.")
def main(
    service,
    address,
    port,
    announced_port,
    proxy,
    mesh_entry,
    slots,
    ledger_path,
    behaviour_text,
):
    """Run one stand-in target until SIGTERM."""
    name = f"{service}/{address}:{port}"
    target = StandInTarget(
        name=name,
        slots=slots,
        ledger=Ledger(path=ledger_path, target=name),
        behaviour=Behaviour().with_changes(json.loads(behaviour_text)),
        mesh_entry=mesh_entry,
    )
    announcer = Announcer(
        proxy=proxy,
        service=service,
        address=address,
        port=announced_port or port,
        slots=target.behaviour.announced_slots or slots,
        incarnation=time.time_ns() // 1_000_000,
        software_version=target.behaviour.software_version,
    )
    renewal = eventlet.spawn(
        announcer.run_forever, lambda: target.behaviour.announces
    )
    sock = eventlet.listen((address, port), reuse_port=False)
    server = eventlet.spawn(
        wsgi.server, sock, target.application, log_output=False
    )
    received_signals = []
    signal.signal(signal.SIGTERM, lambda *_: received_signals.append(True))
    while not received_signals:
        eventlet.sleep(POLL_INTERVAL_SECONDS)
    _shut_down(target, announcer, renewal)
    server.kill()


def _shut_down(target, announcer, renewal):
    """Drain, wait at most MAX_DRAIN_SECONDS for requests, and withdraw."""
    renewal.kill()
    announcer.drain()
    end = time.monotonic() + MAX_DRAIN_SECONDS
    while target.in_flight and time.monotonic() < end:
        eventlet.sleep(POLL_INTERVAL_SECONDS)
    announcer.withdraw()


if __name__ == "__main__":
    main()

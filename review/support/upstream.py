"""Stand-in for an application upstream, as the users' pages describe it."""

import asyncio
import dataclasses
import json
import time

from review.support.http import call, read_message

CALL_TIMEOUT_SECONDS = 1.0
STAMP = "Verbenanotch-Server-Stamp"
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(kw_only=True)
class Run:
    """One request that the upstream began to work on."""

    request_id: str
    upstream: str
    method: str
    path: str
    caller: str
    body: bytes
    started: float
    ended: float | None = None
    broken_off: bool = False


class Upstream:
    """Serves requests and reports itself to the node on its machine.

    `work_seconds(request)` returns how long it works on a Message.
    """

    def __init__(self, *, name, service, machine, record, version="v1"):
        """Serve on `machine.app_address`, report to `machine.control`."""
        self.name = name
        self.service = service
        self.machine = machine
        self.version = version
        self.slots = 14
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * MILLISECONDS_PER_SECOND)
        self.work_seconds = lambda request: 0.02
        self.runs = []
        self._record = record
        self._running = 0
        self._writers = set()
        self._server = None
        self._beats = None

    async def start(self, *, heartbeat_seconds):
        """Listen and report regularly."""
        self._server = await asyncio.start_server(
            self._serve, self.machine.ip, self.machine.app_port
        )
        self._beats = asyncio.create_task(
            self._beat_forever(heartbeat_seconds)
        )

    def stop_reports(self):
        """Send no more regular reports."""
        self._beats.cancel()

    async def stop(self):
        """End without a word."""
        self.stop_reports()
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def crash(self):
        """End at once: reset all connections and listen no more."""
        self.stop_reports()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def report(self):
        """Return the document of the next report."""
        self.sequence += 1
        return {
            "Service": self.service,
            "Addr": f"{self.machine.ip}:{self.machine.app_port}",
            "Zone": self.machine.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftS": 0,
            "Seq": self.sequence,
            "born": self.born,
        }

    async def send_report(self, document=None):
        """Send a report; return its status, 0 without an answer."""
        body = json.dumps(document or self.report()).encode()
        return await self._tell("PUT", body)

    async def send_delete(self):
        """Say that the upstream is gone; return the status."""
        return await self._tell("DELETE", b"")

    async def _tell(self, method, body):
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                answer = await call(
                    self.machine.ip,
                    self.machine.control_port,
                    method,
                    f"/instances/{self.name}",
                    headers=[("Content-Type", "application/json")],
                    body=body,
                )
        except (OSError, EOFError, TimeoutError):
            return 0
        return answer.status

    async def _beat_forever(self, seconds):
        while True:
            await self.send_report()
            await asyncio.sleep(seconds)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                if not await self._answer(request, reader, writer):
                    return
        except (OSError, EOFError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        method, path = request.words[:2]
        if path == "/healthz":
            status = 200 if self.state == "ready" else 503
            self._respond(
                writer, status, [("Verbenanotch-Instance-Id", self.name)], b""
            )
            return True
        request_id = request.header("Verbenanotch-Request-Id")
        echo = [("Verbenanotch-Request-Id", request_id)]
        if request.header("Verbenanotch-Expect-Instance") not in (
            "",
            self.name,
        ):
            self._respond(writer, 421, echo, b"")
            return True
        run = Run(
            request_id=request_id,
            upstream=self.name,
            method=method,
            path=path,
            caller=request.header("Verbenanotch-Caller"),
            body=request.body,
            started=self._record.seconds(),
        )
        self.runs.append(run)
        self._record.write(
            "run",
            id=request_id,
            upstream=self.name,
            method=method,
            path=path,
            caller=run.caller,
        )
        self._running += 1
        try:
            if await self._is_dropped(self.work_seconds(request), reader):
                run.broken_off = True
                self._record.write("dropped", id=request_id)
                return False
        finally:
            self._running -= 1
        run.ended = self._record.seconds()
        stamp = f"{self.name}.{request_id}"
        self._respond(
            writer, 200, [*echo, (STAMP, stamp)], b"done " + stamp.encode()
        )
        self._record.write("finished", id=request_id)
        return True

    async def _is_dropped(self, seconds, reader):
        """Work for a time; return whether the connection closed meanwhile.

        Nodes send one request at a time, so no byte is due before the answer.
        """
        try:
            async with asyncio.timeout(seconds):
                await reader.read(1)
        except TimeoutError:
            return False
        except OSError:
            return True
        return True

    def _respond(self, writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [
            f"Verbenanotch-Server-Load: {self._running},0,{self.slots}",
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

"""An answer that breaks off in its head reaches the client as a success."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.support.http import call  # noqa: E402
from review.support.mesh import (  # noqa: E402
    Mesh,
    configuration,
    route,
)
from review.support.runner import run  # noqa: E402
from review.support.upstream import STAMP, Upstream  # noqa: E402

HOST = "orders.example"
BUDGET_MS = 2000
REQUESTS = 300
REQUEST_INTERVAL_SECONDS = 0.03
CALM_SECONDS = 3.0
# At one of three upstreams one of 50 answers breaks off, as in the list of
# troubles of the print queue (`garble`, share 0.35, x 0.02).
BROKEN_EVERY = 50
# Bytes of the line in which they break off.
PART_OF_LINE = 18


class BreakingUpstream(Upstream):
    """Breaks some answers off in a line of the head, and closes.

    It sends nothing more and closes the connection in the usual way.
    """

    breaks_off = False
    answers = 0

    def _respond(self, writer, status, headers, body):
        if not body or not self._is_due():
            super()._respond(writer, status, headers, body)
            return
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Verbenanotch-Server-Load: 1,0,{self.slots}")
        # Behind the id, or behind the stamp that follows it.
        count = 2 + self.answers // BROKEN_EVERY % 2
        sent = "\r\n".join(lines[:count])
        sent += "\r\n" + lines[count][:PART_OF_LINE]
        self._record.write("broke-off", sent=repr(sent))
        writer.write(sent.encode())
        writer.close()

    def _is_due(self):
        """Count an answer; return whether it is to break off."""
        self.answers += 1
        return self.breaks_off and self.answers % BROKEN_EVERY == 0


async def send(mesh, machine, number, answers):
    """Confirm one order; keep the answer."""
    request_id = f"confirm-{number}"
    try:
        async with asyncio.timeout(BUDGET_MS / 1000 + 1):
            answer = await call(
                machine.ip,
                machine.outbound_port,
                "POST",
                f"/orders/{number}",
                headers=[
                    ("Host", HOST),
                    ("Verbenanotch-Request-Id", request_id),
                    ("Verbenanotch-Deadline-Ms", str(BUDGET_MS)),
                ],
                body=b"confirm",
            )
    except (OSError, EOFError, TimeoutError) as error:
        mesh.record.write("failed", id=request_id, error=repr(error))
        return
    answers[request_id] = answer
    mesh.record.write(
        "answered",
        id=request_id,
        status=answer.status,
        stamp=answer.header(STAMP),
        body=answer.body if answer.status == 200 else "-",
    )


async def case(record, trouble):
    """Let some answers break off; return the breaks."""
    mesh = Mesh(record=record)
    try:
        mesh.add_controls(3)
        entry = mesh.add_proxy("tracker", zone="zone-1")
        machines = [
            mesh.add_proxy("orders", zone="zone-1"),
            mesh.add_proxy("orders", zone="zone-2"),
            mesh.add_proxy("orders", zone="zone-3"),
        ]
        mesh.start()
        for number, machine in enumerate(machines):
            upstream = BreakingUpstream(
                name=f"i-{machine.name}",
                service="orders",
                machine=machine,
                record=record,
            )
            upstream.breaks_off = trouble and number == 0
            await mesh.add_upstream(upstream)
        await mesh.submit(
            configuration(
                "r1",
                {"confirm": route(HOST, "/orders/", "orders", kind="unsafe")},
                ["orders", "tracker"],
            ),
            base="r0",
        )
        await mesh.wait_until_ready()
        await asyncio.sleep(CALM_SECONDS)
        answers = {}
        tasks = []
        for number in range(1, REQUESTS + 1):
            tasks.append(
                asyncio.create_task(send(mesh, entry, number, answers))
            )
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        await asyncio.gather(*tasks)
        return list(find_breaks(answers))
    finally:
        await mesh.stop()


def find_breaks(answers):
    """Yield each success that lacks the stamp or the upstream's body."""
    for request_id, answer in answers.items():
        if not 200 <= answer.status < 300:
            continue
        stamp = answer.header(STAMP)
        if not stamp:
            yield f"MIXED {request_id}: status {answer.status} without a stamp"
        elif answer.body != b"done " + stamp.encode():
            yield (
                f"MIXED {request_id}: status {answer.status} and stamp "
                f"{stamp}, but {len(answer.body)} bytes of body"
            )


if __name__ == "__main__":
    run(pathlib.Path(__file__).parent, case)

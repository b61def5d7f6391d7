"""After one bad configuration no later one comes into force."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.support.http import call  # noqa: E402
from review.support.mesh import (  # noqa: E402
    BOUNDS,
    Mesh,
    configuration,
    route,
)
from review.support.runner import run  # noqa: E402
from review.support.upstream import Upstream  # noqa: E402

HOST = "orders.example"
# No text: half of a pair of code units. JSON's escapes can spell it, no
# encoding can carry it, and no request can name it as its host.
BAD_HOST = "\ud800.example"
BUDGET_MS = 1000
APPLY_SECONDS = BOUNDS["ConfigApplyS"]
# Beyond the bound, so that the time of the stand-ins themselves doesn't count.
MARGIN_SECONDS = 0.5
CALM_SECONDS = 5.0
CHANGES = 3
REQUESTS = 5


def make_configuration(number, *, bad=False):
    """Return a version with routes of its own number and all below it."""
    routes = {
        f"route-{each}": route(HOST, f"/v{each}/", "orders")
        for each in range(1, number + 1)
    }
    if bad:
        routes["bad"] = route(BAD_HOST, "/bad/", "orders")
    return configuration(f"r{number}", routes, ["orders"])


async def send(mesh, machine, number, repeat):
    """Send a request on the route that a version has added; return status."""
    status = 0
    request_id = f"{machine.name}-v{number}-{repeat}"
    try:
        async with asyncio.timeout(BUDGET_MS / 1000 + 1):
            answer = await call(
                machine.ip,
                machine.outbound_port,
                "GET",
                f"/v{number}/order",
                headers=[
                    ("Host", HOST),
                    ("Verbenanotch-Request-Id", request_id),
                    ("Verbenanotch-Deadline-Ms", str(BUDGET_MS)),
                ],
            )
        status = answer.status
    except (OSError, EOFError, TimeoutError):
        pass
    mesh.record.write("answered", id=request_id, status=status)
    return status


async def case(record, trouble):
    """Send a bad configuration, then good ones; return the breaks."""
    mesh = Mesh(record=record)
    try:
        mesh.add_controls(3)
        for number in (1, 2):
            mesh.add_proxy("orders", zone=f"zone-{number}")
        mesh.start()
        for machine in mesh.proxies:
            await mesh.add_upstream(
                Upstream(
                    name=f"i-{machine.name}",
                    service="orders",
                    machine=machine,
                    record=record,
                )
            )
        await mesh.submit(make_configuration(1), base="r0")
        await mesh.wait_until_ready()
        await asyncio.sleep(CALM_SECONDS)
        base = 1
        status = await mesh.put_config(
            make_configuration(2, bad=trouble), base="r1"
        )
        if status == 200:
            base = 2
        await asyncio.sleep(CALM_SECONDS)
        breaks = []
        for number in range(3, 3 + CHANGES):
            await mesh.submit(make_configuration(number), base=f"r{base}")
            base = number
            await asyncio.sleep(APPLY_SECONDS + MARGIN_SECONDS)
            for machine in mesh.proxies:
                breaks += await find_breaks(mesh, machine, number)
        return breaks
    finally:
        await mesh.stop()


async def find_breaks(mesh, machine, number):
    """Return one text if requests on the newest route are refused."""
    statuses = [
        await send(mesh, machine, number, repeat) for repeat in range(REQUESTS)
    ]
    missing = statuses.count(404)
    if not missing:
        return []
    return [
        f"CONFIG r{number} was acknowledged more than {APPLY_SECONDS} s ago; "
        f"{machine.name} answers 404 to {missing} of {REQUESTS} requests on "
        "its new route"
    ]


if __name__ == "__main__":
    run(pathlib.Path(__file__).parent, case)

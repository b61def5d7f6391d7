"""Guard against requests that are read and end without an answer.

Real processes. Callers send requests of many kinds on kept connections while
planned work, full targets and targets that start again come in series, at
random and overlapping. VERBENANOTCH_FIRST_SEED and VERBENANOTCH_SEEDS choose
other seeds.
"""

import random
import signal
import time

import eventlet
import pytest

from examples import topology as plans
from tests.support.harness import Mesh
from tests.support.kept_caller import make_callers
from tests.support.ledger import read_ledgers, runs_by_request_id
from tests.support.network import accepts_connections
from tests.support.seeds import chosen_seeds
from tests.support.verdicts import lost, refused_but_run, run_twice

SEEDS = chosen_seeds(1)
SERVICE = "pay"
SLOTS = 4
SHED_OVER = 5
WITH_TARGETS = ["z1-proxy-1", "z1-proxy-2"]
PROXIES = [*WITH_TARGETS, "z1-proxy-3"]
CALLERS_PER_PROXY = 6
LOAD_SECONDS = 10.0
MAX_PAUSE_SECONDS = 0.5
MAX_BODY_BYTES = 1_000_000
SETTINGS = {
    "stop_seconds": 6,
    "max_body_bytes": MAX_BODY_BYTES,
    "max_receiving_bytes": 100_000_000,
    "unrouted_is_missing": True,
    "fractional_retry_after": True,
}


def mesh_text(changes):
    return f"""
name = "kept-{changes}"

[services.{SERVICE}]
slots = {SLOTS}
cold_start_ms = 0

[routes.{SERVICE}]
prefix = "/pay"
service = "{SERVICE}"
timeout_ms = {4000 + changes}
idempotent_methods = ["GET", "PUT"]
"""


@pytest.fixture
def mesh(tmp_path):
    with Mesh(
        folder=tmp_path,
        control_hosts_per_zone=1,
        proxies_per_zone=len(PROXIES),
        overrides={"proxy": SETTINGS},
    ) as running:
        for name in WITH_TARGETS:
            running.start_target(name, SERVICE, slots=SLOTS)
        running.version = running.accept(mesh_text(0))
        running.wait_until(
            lambda: all(
                running.call("GET", "/pay/1", proxy=name).outcome == "answered"
                for name in PROXIES
            ),
            what="served requests",
        )
        yield running


def stop_proxies(mesh, chance, end):
    """Stop a proxy, at times by a second signal or during a reload."""
    while time.monotonic() < end:
        eventlet.sleep(chance.random() * MAX_PAUSE_SECONDS)
        proxy = chance.choice(PROXIES)
        if chance.random() < 0.3:
            mesh.child(proxy).signal(signal.SIGHUP)
        mesh.terminate(proxy)
        if chance.random() < 0.5:
            eventlet.sleep(chance.random())
            mesh.terminate(proxy)
        assert mesh.child(proxy).wait() == 0
        mesh.restart(proxy)


def reload_proxies(mesh, chance, end):
    while time.monotonic() < end:
        proxy = chance.choice(PROXIES)
        address = mesh.topology.hosts_by_name[proxy].address
        for _ in range(chance.randint(1, 4)):
            # Signals during the start are those of test_signals_at_start.
            if accepts_connections(address, plans.CALLER_PORT):
                mesh.child(proxy).signal(signal.SIGHUP)
            eventlet.sleep(chance.random() * 0.1)
        eventlet.sleep(chance.random() * MAX_PAUSE_SECONDS)


def change_configuration(mesh, chance, end):
    changes = 0
    while time.monotonic() < end:
        changes += 1
        reply = mesh.submit(mesh_text(changes), base=mesh.version)
        assert reply.kind == "accepted", reply
        mesh.version = type(mesh.version).parse(reply.value["version"])
        eventlet.sleep(chance.random() * MAX_PAUSE_SECONDS)


def restart_target(mesh, name):
    mesh.terminate(name)
    mesh.child(name).wait()
    mesh.restart(name)
    address, port = mesh.target_id(name).split("/")[1].split(":")
    mesh.wait_until(
        lambda: accepts_connections(address, int(port)),
        what=f"listener of {name}",
    )


def trouble_targets(mesh, chance, end):
    """Let targets shed at times, and start one again after it has left."""
    names = mesh.targets()
    while time.monotonic() < end:
        name = chance.choice(names)
        if chance.random() < 0.3:
            restart_target(mesh, name)
        else:
            mesh.control_target(name, shed_over=SHED_OVER)
            eventlet.sleep(chance.random())
            mesh.control_target(name, shed_over=0)
        eventlet.sleep(chance.random() * MAX_PAUSE_SECONDS)


FAULTS = [
    stop_proxies,
    reload_proxies,
    change_configuration,
    trouble_targets,
]


def cut(results, *, has_stops):
    """Return the requests that were reset while their body was sent.

    A request may cross the close of an idle connection in a stop. Those of a
    burst may follow an answer that closes the connection.
    """
    return [
        result
        for result in results
        if result.is_cut
        and result.kind != "burst"
        and (result.status or not has_stops)
    ]


@pytest.mark.parametrize("seed", SEEDS)
def test_no_request_that_was_read_ends_without_an_answer(mesh, tmp_path, seed):
    chance = random.Random(seed)
    callers = [
        caller
        for _, caller in make_callers(
            mesh,
            proxies=PROXIES,
            callers_per_proxy=CALLERS_PER_PROXY,
            seed=seed,
            max_body_bytes=MAX_BODY_BYTES,
        )
    ]
    for caller in callers:
        caller.start()
    end = time.monotonic() + LOAD_SECONDS
    kinds = chance.sample(FAULTS, chance.randint(1, len(FAULTS)))
    faults = [
        eventlet.spawn(fault, mesh, random.Random(chance.random()), end)
        for fault in kinds
    ]
    for fault in faults:
        fault.wait()
    eventlet.sleep(max(0, end - time.monotonic()))
    for caller in callers:
        caller.stop()
    results = [result for caller in callers for result in caller.results]
    runs = runs_by_request_id(read_ledgers(tmp_path))
    assert lost(results, runs) == []
    assert refused_but_run(results, runs) == []
    assert run_twice(results, runs) == []
    assert cut(results, has_stops=stop_proxies in kinds) == []
    assert all(result.shows_own_id for result in results)
    assert [
        result
        for result in results
        if result.kind == "oversize"
        and result.is_whole
        and result.status not in (0, 413)
    ] == []
    answered = [result for result in results if result.status == 200]
    assert len(answered) > len(results) / 2

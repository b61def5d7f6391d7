"""A restarted control host takes the reply to an earlier order for its own."""

import json
import pathlib
import random
import signal
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig"))

from mesh import (  # noqa: E402
    METRICS_PORT,
    CannotRunError,
    Mesh,
    Record,
    call,
    is_disturbed,
    run_case,
)
from operator_stand_in import Operator, configuration, route  # noqa: E402

SERVICE = "orders"
ROUTES = 60
# Orders in progress at once: one is broken off, and these come after it.
LATER_ORDERS = 7
# The operator goes to another host after a second without an answer.
ANSWER_SECONDS = 1.0
RUN_SECONDS = 95.0
CALM_ROUNDS = 3
LEADER_SECONDS = 8.0
# When the host is killed, counted from the sending of the first order. It
# follows the speed of the machine: the order shall just have been forwarded.
FIRST_KILL_SECONDS = 0.010
LONGER, SHORTER = 1.25, 0.92
MIN_KILL_SECONDS, MAX_KILL_SECONDS = 0.002, 0.2


def main():
    """Return 1 if the rule was broken, 0 if it held."""
    record = Record(HERE / "record.txt")
    disturbed = is_disturbed()
    with Mesh(targets=[]) as mesh:
        case = Case(mesh=mesh, record=record)
        case.begin()
        end = time.monotonic() + RUN_SECONDS
        rounds = 0
        while time.monotonic() < end and (disturbed or rounds < CALM_ROUNDS):
            rounds += 1
            if case.run_round(disturbed=disturbed):
                record.write("result", f"broken in round {rounds}")
                return 1
        record.write("result", f"held in {rounds} rounds")
        return 0


class Case:
    """Rounds of orders on top of one version, with a restart between them."""

    def __init__(self, *, mesh, record):
        """Start without a version."""
        self._mesh = mesh
        self._record = record
        self._operator = Operator(mesh=mesh, record=record)
        self._label = 1
        self._kill_seconds = FIRST_KILL_SECONDS

    def begin(self):
        """Have the first configuration accepted."""
        if self._operator.put(_make(1, "first"), 0) != 200:
            raise CannotRunError("the configuration is refused")

    def run_round(self, *, disturbed):
        """Return whether an order was acked that is not in force."""
        leader = self._leader()
        followers = [c for c in self._mesh.controls if c is not leader]
        random.shuffle(followers)
        restarted, frozen = followers
        self._restart(restarted)
        time.sleep(0.8)
        if self._leader() is not leader:
            return False
        acked = {}
        if disturbed:
            frozen.signal(signal.SIGSTOP)
            self._record.write("platform", f"freezes {frozen.address}")
            time.sleep(0.05)
        first = threading.Thread(
            target=self._order, args=(restarted, "a", acked, 1)
        )
        first.start()
        if disturbed:
            time.sleep(self._kill_seconds)
            self._restart(restarted, waits=False)
        first.join()
        self._send_later_orders(restarted, acked)
        frozen.signal(signal.SIGCONT)
        self._record.write("platform", f"thaws {frozen.address}")
        return self._judge(acked, disturbed)

    def _send_later_orders(self, control, acked):
        """Send other changes on top of the same version, all at once."""
        _wait_for_listener(control, self._mesh.control_port)
        threads = [
            threading.Thread(
                target=self._order, args=(control, f"b{number}", acked, 2)
            )
            for number in range(LATER_ORDERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _order(self, control, name, acked, step):
        """Send a change once; remember it if it is acked."""
        status = self._operator.put_once(
            control,
            _make(self._label + step, name),
            self._label,
            seconds=ANSWER_SECONDS,
        )
        self._record.write("operator", f"change {name}: {status}")
        if status == 200:
            acked[name] = self._label + step

    def _judge(self, acked, disturbed):
        """Read back what is in force everywhere; compare it with the acks."""
        time.sleep(0.7)
        label, name = self._read_back()
        self._record.write(
            "result",
            f"acked: {acked or 'nothing'}; in force: change {name}, r{label}",
        )
        if not disturbed and not acked:
            raise CannotRunError("no order is acked")
        is_first_in_force = name == "a"
        self._label = label
        factor = SHORTER if is_first_in_force else LONGER
        self._kill_seconds = min(
            MAX_KILL_SECONDS,
            max(MIN_KILL_SECONDS, self._kill_seconds * factor),
        )
        return any(each != name for each in acked)

    def _read_back(self):
        """Return label and name of the configuration that all hosts tell."""
        end = time.monotonic() + LEADER_SECONDS
        while time.monotonic() < end:
            answers = [self._operator.get(c) for c in self._mesh.controls]
            if all(status == 200 for status, _ in answers):
                bodies = {body for _, body in answers}
                if len(bodies) == 1:
                    values = json.loads(bodies.pop())
                    path = values["Routes"]["r-0"]["Prefix"]
                    return int(values["Version"][1:]), path.strip("/")
            time.sleep(0.1)
        raise CannotRunError("the hosts tell no configuration")

    def _leader(self):
        """Return the control host that leads, by its metrics."""
        end = time.monotonic() + LEADER_SECONDS
        while time.monotonic() < end:
            for control in self._mesh.controls:
                if _leads(control):
                    return control
            time.sleep(0.1)
        raise CannotRunError("no control host leads")

    def _restart(self, control, *, waits=True):
        control.kill()
        self._record.write("platform", f"kills {control.address}")
        control.fields["Bootstrap"] = False
        control.start()
        self._record.write("platform", f"starts {control.address}")
        if waits:
            _wait_for_listener(control, self._mesh.control_port)


def _make(label, name):
    """Return a configuration that tells the name of its change."""
    routes = {
        f"r-{number}": route(f"h{number}.example", f"/p{number}/", SERVICE)
        for number in range(1, ROUTES)
    }
    routes["r-0"] = route("h0.example", f"/{name}/", SERVICE, Kind="unsafe")
    return configuration(label, routes, [SERVICE])


def _leads(control):
    try:
        _, _, body = call(
            control.address, METRICS_PORT, "GET", "/metrics", seconds=1.0
        )
    except OSError:
        return False
    return any(
        "is_leader" in line
        and not line.startswith("#")
        and float(line.split()[-1]) == 1
        for line in body.decode().splitlines()
    )


def _wait_for_listener(control, port):
    end = time.monotonic() + LEADER_SECONDS
    while time.monotonic() < end:
        try:
            socket.create_connection((control.address, port), 0.2).close()
        except OSError:
            time.sleep(0.01)
        else:
            return
    raise CannotRunError(f"{control.address} does not start")


if __name__ == "__main__":
    run_case(main)

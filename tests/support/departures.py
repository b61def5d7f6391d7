"""Targets that leave, serve on for a while, and whose reports come late."""

import json
import time

import attrs
import eventlet
import urllib3

from examples import topology as plans
from tests.support.network import accepts_connections

REQUEST_TIMEOUT_SECONDS = 1.0
# The users' time from an acknowledged departure until no request comes.
DRAIN_SECONDS = 2.0
MAX_LATE_SECONDS = 5.0
LATE_REPORTS = 12
SERVED_ON_SECONDS = 6.0


@attrs.frozen(kw_only=True)
class Departure:
    """A target's time away, in seconds since 1970.

    It counts from DRAIN_SECONDS after the acknowledgement.
    """

    target_id: str
    acked_at: float
    back_at: float

    def includes(self, entry):
        """Return whether a LedgerEntry is of a run in this time."""
        from_time = self.acked_at + DRAIN_SECONDS
        return (
            entry.phase == "started"
            and entry.target == self.target_id
            and from_time < entry.time < self.back_at
        )


class LeavingTargets:
    """Let targets of a Mesh leave and start again.

    `departures` are the acknowledged ones.
    """

    def __init__(self, *, mesh, chance):
        """Use `chance`, a `random.Random`."""
        self.departures = []
        self._mesh = mesh
        self._chance = chance
        self._pool = urllib3.PoolManager(retries=False)

    def leave(self, name):
        """Let a target leave and serve on; deliver late reports meanwhile."""
        mesh = self._mesh
        target_id = mesh.target_id(name)
        announcement = self._announcement(name)
        mesh.control_target(name, announces=False, reported_health=503)
        acked_at = time.time()
        is_acked = self._request(name, "DELETE", f"/{target_id}") == 200
        delays = sorted(
            self._chance.uniform(0.0, MAX_LATE_SECONDS)
            for _ in range(LATE_REPORTS)
        )
        for delay in delays:
            eventlet.sleep(max(0.0, acked_at + delay - time.time()))
            self._request(name, "POST", "", announcement)
        eventlet.sleep(max(0.0, acked_at + SERVED_ON_SECONDS - time.time()))
        mesh.kill(name)
        if is_acked:
            self.departures.append(
                Departure(
                    target_id=target_id,
                    acked_at=acked_at,
                    back_at=time.time(),
                )
            )
        mesh.restart(name)
        address, port = self._endpoint(name)
        mesh.wait_until(
            lambda: accepts_connections(address, int(port)),
            what=f"listener of {name}",
        )

    def _endpoint(self, name):
        """Return address and port of a target, both as text."""
        _, _, endpoint = self._mesh.target_id(name).partition("/")
        address, _, port = endpoint.partition(":")
        return address, port

    def _announcement(self, name):
        """Return a report of the target's current start."""
        service, _, _ = self._mesh.target_id(name).partition("/")
        address, port = self._endpoint(name)
        return json.dumps(
            {
                "service": service,
                "address": address,
                "port": int(port),
                "slots": 4,
                "incarnation": int(time.time() * 1000),
            }
        )

    def _request(self, name, method, path, body=None):
        """Return the status of the target's proxy, None without an answer."""
        address, _ = self._endpoint(name)
        url = f"http://{address}:{plans.TARGET_PORT}/v1/targets{path}"
        try:
            return self._pool.request(
                method, url, body=body, timeout=REQUEST_TIMEOUT_SECONDS
            ).status
        except urllib3.exceptions.HTTPError:
            return None

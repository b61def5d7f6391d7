"""Accepted versions after losses of power and of disks, in clusters."""

import contextlib
import random

import eventlet
import pytest

from tests.support.power_loss import PowerLossFiles
from tests.support.replicas import MESH, Cluster, wait_for
from verbenanotch.catalog import Accepted

SEEDS = 6
FAULTS = 3
RECOVERY_SECONDS = 30.0


class Run:
    """A cluster whose hosts stop, lose power and lose disks."""

    def __init__(self, *, seed, path):
        """Start all hosts with empty disks."""
        self.random = random.Random(seed)
        self.tolerated = self.random.choice((1, 1, 2))
        names = [f"c{n}" for n in range(1, 2 * self.tolerated + 2)]
        self.files_by_name = {name: PowerLossFiles() for name in names}
        self.cluster = Cluster(
            path=path,
            voters=tuple(names),
            tolerated_losses=self.tolerated,
            snapshot_every_entries=self.random.choice((2, 5, 1000)),
        )
        self.texts_by_version = {}
        self.number = 0
        self._start(names)
        self.cluster.control["may_create_cluster"] = False

    def play(self):
        """Accept versions and let faults follow; raise if one is lost."""
        for _ in range(FAULTS):
            for _ in range(self.random.randrange(1, 5)):
                self._accept()
            unanswered = eventlet.spawn(self._try_to_accept)
            eventlet.sleep(self.random.choice((0, 0, 0.002, 0.01)))
            self._fail()
            unanswered.kill()
            self._check()

    def _start(self, names):
        for name in names:
            self.cluster.start(name, files=self.files_by_name[name])

    def _submit(self, host):
        self.number += 1
        number = self.number
        outcome = host.submit(number, timeout=2.0)
        if isinstance(outcome, Accepted):
            text = MESH.format(number).encode()
            self.texts_by_version[outcome.version] = text
            return True
        return False

    def _accept(self):
        wait_for(
            lambda: self._submit(
                self.random.choice([*self.cluster.hosts_by_name.values()])
            ),
            seconds=RECOVERY_SECONDS,
        )

    def _try_to_accept(self):
        # The host may be stopped meanwhile.
        with contextlib.suppress(Exception):
            self._submit(self.cluster.leader())

    def _fail(self):
        names = list(self.files_by_name)
        leaders = [
            name
            for name, host in self.cluster.hosts_by_name.items()
            if host.replica.status().role == "leader"
        ]
        self.random.shuffle(names)
        if leaders and self.random.random() < 0.5:
            names.remove(leaders[0])
            names.insert(0, leaders[0])
        wiped = names[: self.random.randrange(self.tolerated + 1)]
        stopped = names[
            : self.random.choice((len(names), self.random.randrange(5)))
        ]
        stopped = list(dict.fromkeys([*wiped, *stopped]))
        loses_power = self.random.random() < 0.7
        for name in stopped:
            self.cluster.stop(name)
        for name in stopped:
            if name in wiped:
                self.files_by_name[name].wipe()
            elif loses_power:
                self.files_by_name[name].lose_power(self.random)
        self.random.shuffle(stopped)
        for name in stopped:
            self._start([name])
            eventlet.sleep(self.random.choice((0, 0.02, 0.5)))

    def _check(self):
        self._accept()
        newest = max(self.texts_by_version)
        self.cluster.agree(newest)
        for host in self.cluster.hosts_by_name.values():
            records = host.versions.records_by_version
            for version, text in self.texts_by_version.items():
                assert records[version].text == text
        for name in self.files_by_name:
            wait_for(
                lambda name=name: self.cluster.has_vote(name),
                seconds=RECOVERY_SECONDS,
            )


@pytest.mark.parametrize("seed", range(SEEDS))
def test_no_accepted_version_is_lost_with_power_and_disks(seed, tmp_path):
    run = Run(seed=seed, path=tmp_path)
    try:
        run.play()
    finally:
        run.cluster.close()

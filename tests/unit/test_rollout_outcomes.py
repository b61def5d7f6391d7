"""Counts of outcomes by route and version, and their messages."""

import msgpack
import pytest

from verbenanotch.proxy import OutcomeReporter
from verbenanotch.rollouts import (
    OutcomeCount,
    OutcomeCounter,
    RolloutsWatched,
    VersionOutcomes,
)
from verbenanotch.wire import decode, encode

OBJECTIVE_SECONDS = 0.6


@pytest.fixture
def counter():
    counter = OutcomeCounter()
    counter.watch({"pay": "v2"}, 0.0)
    return counter


def record(counter, version="v2", *, seconds=0.1, route="r", **fields):
    values = {"objective_seconds": OBJECTIVE_SECONDS, "now": 0.0} | fields
    counter.record("pay", route, version, seconds=seconds, **values)


def counts(counter):
    message = counter.message("pay", proxy_incarnation=1)
    return {
        (count.route, count.software_version): (
            count.calls,
            count.failures,
            count.late,
            count.milliseconds,
        )
        for count in message.counts
    }


def test_messages_pass_the_wire():
    message = VersionOutcomes(
        service="pay",
        proxy_incarnation=1_796_337_870_882,
        counts=(
            OutcomeCount(
                route="r",
                software_version="v2",
                calls=4,
                failures=1,
                late=1,
                milliseconds=800,
            ),
        ),
    )
    for sent in (message, RolloutsWatched(services={"pay": "v2"})):
        assert decode(msgpack.unpackb(encode(sent))) == sent


def test_calls_are_counted_by_route_and_version(counter):
    record(counter, "v1")
    record(counter, "v2", failed=True)
    record(counter, "v2", failed=True, answered=False, seconds=1.0)
    record(counter, "v2", route="other")
    assert counts(counter) == {
        ("r", "v1"): (1, 0, 0, 100),
        ("r", "v2"): (2, 2, 0, 100),
        ("other", "v2"): (1, 0, 0, 100),
    }


def test_an_answer_is_late_by_what_other_versions_take(counter):
    """The candidate answers several times slower, within the objective."""
    for _ in range(20):
        record(counter, "v1", seconds=0.1)
    record(counter, "v2", seconds=0.29)
    record(counter, "v2", seconds=0.31)
    record(counter, "v1", seconds=0.31)
    assert counts(counter)["r", "v2"] == (2, 0, 1, 600)
    assert counts(counter)["r", "v1"][2] == 1


def test_a_late_failure_counts_once(counter):
    """Else one call would be two bad ones of one, which is never chance."""
    record(counter, "v1", seconds=0.1)
    record(counter, "v2", seconds=0.9, failed=True)
    assert counts(counter)["r", "v2"] == (1, 1, 0, 900)


def test_slow_candidates_do_not_change_the_expected_time(counter):
    record(counter, "v1", seconds=0.1)
    for _ in range(100):
        record(counter, "v2", seconds=0.5)
    assert counts(counter)["r", "v2"][2] == 100


def test_fast_failures_do_not_change_the_expected_time(counter):
    record(counter, "v1", seconds=0.1)
    for _ in range(100):
        record(counter, "v1", seconds=0.001, failed=True)
    record(counter, "v2", seconds=0.2)
    assert counts(counter)["r", "v2"][2] == 0


def test_the_objective_is_expected_where_no_other_version_answered(counter):
    record(counter, "v2", seconds=1.7)
    record(counter, "v2", seconds=1.9)
    record(counter, "v2", seconds=9.0, route="none", objective_seconds=0.0)
    assert counts(counter)["r", "v2"][2] == 1
    assert counts(counter)["none", "v2"][2] == 0


def test_callers_that_leave_count_only_if_they_waited_too_long(counter):
    record(counter, "v1", seconds=0.1)
    gone = {"answered": False, "failed": True, "cancelled": True}
    record(counter, "v2", seconds=0.05, **gone)
    assert ("r", "v2") not in counts(counter)
    record(counter, "v2", seconds=0.4, **gone)
    assert counts(counter)["r", "v2"] == (1, 1, 0, 0)


def test_unwatched_services_and_times_are_not_counted(counter):
    counter.record("other", "r", "v2", seconds=1, objective_seconds=1, now=0.0)
    record(counter, now=3.0)
    assert counts(counter) == {}
    assert counter.changes(3.0) == []
    counter.watch({"pay": "v2"}, 5.0)
    record(counter, now=5.0)
    assert counter.changes(5.0) == ["pay"]


def test_totals_are_kept_for_one_candidate_and_dropped_for_the_next(counter):
    record(counter)
    counter.watch({"pay": "v2"}, 1.0)
    assert counts(counter)["r", "v2"][0] == 1
    counter.watch({"pay": "v3"}, 2.0)
    assert counts(counter) == {}


def test_the_memory_of_a_service_is_bounded(counter):
    for number in range(500):
        record(counter, f"v{number % 60}", route=f"r{number}")
    assert len(counts(counter)) == 64
    record(counter, "v3", route="r3")
    assert counts(counter)["r3", "v3"][0] == 2


def test_calls_of_a_service_with_many_routes_are_all_counted(counter):
    """Else the old version's routes would leave no room for the candidate."""
    for version in ("v1", "v2", "v3"):
        for number in range(500):
            record(counter, version, route=f"r{number}")
    assert len(counts(counter)) <= 64
    totals = {}
    for (_, version), values in counts(counter).items():
        totals[version] = totals.get(version, 0) + values[0]
    assert totals == {"v1": 500, "v2": 500, "v3": 500}
    # A route is compared with itself alone, in each version.
    for route in {route for route, _ in counts(counter)}:
        calls = {counts(counter)[route, f"v{it}"][0] for it in (1, 2, 3)}
        assert len(calls) == 1


class Reports:
    """A reporter whose clock and leader the test controls."""

    def __init__(self):
        """Start at 0 s with a known leader and no watched services."""
        self.now = 0.0
        self.has_leader = True
        self.sent = []
        self.counter = OutcomeCounter()
        self.reporter = OutcomeReporter(
            counter=self.counter,
            send=self.send,
            proxy_incarnation=7,
            monotonic=lambda: self.now,
        )

    def send(self, message):
        """Keep a message; return False without a leader."""
        if self.has_leader:
            self.sent.append(message)
        return self.has_leader

    def call(self):
        """Count a call to the service `pay`."""
        record(self.counter, now=self.now)

    def run(self, seconds, *, calls_per_step):
        """Report in steps of 250 ms, while the leader watches `pay`."""
        for _ in range(int(seconds * 4)):
            self.reporter.watch(RolloutsWatched(services={"pay": "v2"}))
            for _ in range(calls_per_step):
                self.call()
            self.reporter.report()
            self.now += 0.25


@pytest.fixture
def reports():
    return Reports()


def test_each_proxy_sends_at_most_four_messages_a_second(reports):
    reports.run(10, calls_per_step=50)
    assert len(reports.sent) == 40
    assert reports.sent[-1].counts[0].calls == 2000
    assert reports.sent[-1].proxy_incarnation == 7


def test_nothing_is_sent_without_new_outcomes(reports):
    reports.run(10, calls_per_step=0)
    assert reports.sent == []
    reports.call()
    reports.run(10, calls_per_step=0)
    assert len(reports.sent) == 1


def test_nothing_is_counted_or_sent_once_the_leader_is_silent(reports):
    reports.run(1, calls_per_step=1)
    before = len(reports.sent)
    reports.now += 3.0
    reports.call()
    reports.reporter.report()
    assert len(reports.sent) == before


def test_what_no_leader_took_is_sent_to_the_next_one(reports):
    reports.run(0.25, calls_per_step=1)
    reports.has_leader = False
    reports.run(1, calls_per_step=1)
    reports.has_leader = True
    reports.run(0.25, calls_per_step=0)
    assert [message.counts[0].calls for message in reports.sent] == [1, 5]

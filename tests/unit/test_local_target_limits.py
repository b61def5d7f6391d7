"""The proxy beside a target keeps what the target says in its answers."""

import time

import attrs
import pytest

from tests.unit.test_local_targets import make_record
from tests.unit.test_proxy_exchange import RawTarget
from tests.unit.test_proxy_peers import SETTINGS, make_call
from verbenanotch.conf import HeaderNames
from verbenanotch.proxy import LocalTargets
from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.proxy._outcome import Answered, to_mrps

NAMES = HeaderNames(
    target_limit="X-Limit", target_leaving="X-Leaving", target_load="X-Load"
)
# One request in 100 s, so that a second one is refused however slow the test.
LIMIT = b"X-Limit: 0.01\r\n"
LEAVING = b"X-Leaving: 1\r\n"
SLOWED = b"X-Load: 1,0,4,300\r\n"


def answer(*headers, request_id=b"r1"):
    return b"".join(
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: ",
            request_id,
            b"\r\n",
            *headers,
            b"\r\nok",
        )
    )


class Fixture:
    """A target with given answers beside a proxy."""

    def __init__(self, answers):
        """Announce the target as i-1."""
        self.target = RawTarget(answers)
        self.targets = LocalTargets(
            settings=attrs.evolve(
                SETTINGS,
                proxy=attrs.evolve(
                    SETTINGS.proxy,
                    headers=NAMES,
                    targets_echo_request_id=True,
                ),
            ),
            incarnation=1,
            on_change=lambda: None,
        )
        port = self.target._socket.getsockname()[1]
        self.targets.announce(make_record(port=port))

    def run(self, **fields):
        """Run a call and return its outcome."""
        return self.targets.run(
            make_call(
                request_id="r1", target_id="i-1", service="pay", **fields
            ),
            sender="z1-proxy-2",
            deadline=time.monotonic() + 5,
            cancellation=Cancellation(),
        )


@pytest.fixture
def proxy_with():
    fixtures = []

    def make(*answers):
        fixtures.append(Fixture(answers))
        return fixtures[-1]

    yield make
    for fixture in fixtures:
        fixture.target.stop()


def test_a_call_over_the_named_limit_is_not_run(proxy_with):
    proxy = proxy_with(answer(LIMIT), answer(LIMIT))
    first = proxy.run(demand_mrps=4000)
    assert isinstance(first, Answered)
    assert (first.load.limit, first.load.share) == (0.01, 0.01)
    proxy.run()
    refusal = proxy.run()
    assert refusal.reason == "target-limited"
    assert refusal.retry_after_ms > 10_000
    assert refusal.load.limit == 0.01
    assert len(proxy.target.requests) == 2


def test_a_leaving_target_is_drained(proxy_with):
    proxy = proxy_with(answer(LEAVING))
    assert proxy.run().load.is_leaving
    assert proxy.targets.announcement().targets[0].draining
    assert proxy.run().reason == "target-draining"
    assert len(proxy.target.requests) == 1


def test_a_refusal_by_the_target_names_its_limit_too(proxy_with):
    refusal = answer(LIMIT, LEAVING).replace(b"200 OK", b"500 Error")
    proxy = proxy_with(refusal)
    proxy.run()
    assert proxy.targets.targets_by_id["i-1"].limit.rate == 0.01
    assert proxy.targets.announcement().targets[0].draining


def test_an_answer_to_another_request_says_nothing(proxy_with):
    foreign = answer(LIMIT, LEAVING, request_id=b"r0")
    proxy = proxy_with(foreign + answer())
    assert isinstance(proxy.run(), Answered)
    assert proxy.targets.targets_by_id["i-1"].limit.rate == 0.0
    assert not proxy.targets.announcement().targets[0].draining


def test_invalid_headers_change_nothing(proxy_with):
    invalid = answer(b"X-Limit: many\r\n", b"X-Leaving: yes\r\n")
    proxy = proxy_with(answer(LIMIT), invalid)
    proxy.run()
    assert isinstance(proxy.run(), Answered)
    assert proxy.targets.targets_by_id["i-1"].limit.rate == 0.01
    assert not proxy.targets.announcement().targets[0].draining


def test_an_incomplete_answer_names_a_limit(proxy_with):
    cut = answer(LIMIT, b"X-A: close\r\n")[:-1]
    proxy = proxy_with(cut)
    assert not isinstance(proxy.run(), Answered)
    assert proxy.targets.targets_by_id["i-1"].limit.rate == 0.01


def test_a_restarted_proxy_learns_the_limit_from_those_that_send(proxy_with):
    proxy = proxy_with(answer(LIMIT))
    assert isinstance(proxy.run(known_limit_mrps=to_mrps(0.01)), Answered)
    assert proxy.run().reason == "target-limited"


def test_another_start_of_the_target_has_no_limit(proxy_with):
    proxy = proxy_with(answer(LIMIT), answer())
    proxy.run()
    record = proxy.targets.targets_by_id["i-1"].record
    proxy.targets.announce(
        attrs.evolve(record, incarnation=record.incarnation + 1)
    )
    assert proxy.targets.targets_by_id["i-1"].limit.rate == 0.0


def test_the_pace_in_an_answer_is_reported_with_the_load(proxy_with):
    proxy = proxy_with(answer(SLOWED), answer(b"X-Load: 1,0,4,x\r\n"))
    load = proxy.run().load
    assert 200 < load.pace_percent <= 300
    assert 0 < load.usual_seconds < load.service_seconds
    assert load.reported_ms > 0
    assert 100 <= proxy.run().load.pace_percent <= 300


def test_without_a_pace_the_load_is_as_before(proxy_with):
    proxy = proxy_with(answer(b"X-Load: 1,0,4\r\n"))
    load = proxy.run().load
    assert (load.pace_percent, load.usual_seconds, load.reported_ms) == (
        0,
        0.0,
        0,
    )


def test_another_start_of_the_target_has_no_pace(proxy_with):
    proxy = proxy_with(answer(SLOWED))
    proxy.run()
    record = proxy.targets.targets_by_id["i-1"].record
    proxy.targets.announce(
        attrs.evolve(record, incarnation=record.incarnation + 1)
    )
    assert proxy.targets.targets_by_id["i-1"].pace.percent == 0

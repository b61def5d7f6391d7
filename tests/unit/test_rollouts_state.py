"""The state of rollouts on the log: orders, steps, versions, snapshots."""

import io
import json

import attrs
import pytest

from tests.unit.test_platform import make_configuration
from tests.unit.test_versions import LocalReplica, submit
from verbenanotch.catalog import (
    NO_VERSION,
    Accepted,
    Conflict,
    Exposure,
    Service,
    Unavailable,
)
from verbenanotch.membership import decode_entry, encode_entry
from verbenanotch.platform import interfaces, parse_configuration
from verbenanotch.replication import (
    Position,
    ReadConfirmed,
    ReadUnavailable,
)
from verbenanotch.replication import Unavailable as ReplicaUnavailable
from verbenanotch.rollouts._commands import (
    Action,
    Outdated,
    Step,
    decode_outcome,
    encode_command,
)
from verbenanotch.rollouts.control import (
    MeshStateMachine,
    Ordered,
    Phase,
    Refused,
    RolloutService,
    RolloutTable,
)
from verbenanotch.versions import VersionService, VersionStateMachine

MESH = b'name = "m"\n[services.a]\n[services.b]\n'


class Replica(LocalReplica):
    """Replica that also answers reads, unless it has no quorum."""

    has_quorum = True

    def confirm_read(self, *, timeout_seconds):
        """Return ReadConfirmed or ReadUnavailable."""
        if self.has_quorum:
            return ReadConfirmed(index=self.index)
        return ReadUnavailable(reason="no quorum")


@attrs.frozen(kw_only=True)
class Control:
    """The parts of a control host that orders need."""

    state: MeshStateMachine
    replica: Replica
    versions: VersionService
    rollouts: RolloutService

    @property
    def mesh(self):
        """The mesh that proxies get."""
        return self.state.versions.current.mesh

    def order(self, candidate="v2", service="a", seconds=12):
        """Order a rollout."""
        return self.rollouts.order(
            service=service,
            candidate=candidate,
            finish_by_seconds=seconds,
            operator="ann",
        )

    def step(self, action, *, service="a", number=None, **fields):
        """Propose a step as a leader does."""
        last = self.rollouts.last(service)
        step = Step(
            service=service,
            order=last.order,
            number=last.step if number is None else number,
            action=action,
            elapsed_ms=fields.pop("elapsed_ms", 0),
            **fields,
        )
        outcome = self.replica.propose(
            command=encode_command(step), timeout_seconds=1
        )
        return decode_outcome(outcome.result)


def make_state(parse=None, monotonic=lambda: 0.0):
    arguments = {"parse": parse} if parse else {}
    return MeshStateMachine(
        versions=VersionStateMachine(**arguments),
        rollouts=RolloutTable(monotonic=monotonic),
    )


def make_control(parse=None):
    state = make_state(parse)
    replica = Replica(state)
    return Control(
        state=state,
        replica=replica,
        versions=VersionService(replica=replica, versions=state.versions),
        rollouts=RolloutService(replica=replica, state=state),
    )


@pytest.fixture
def control():
    control = make_control()
    submit(control.versions, "first", text=MESH)
    return control


def finish(control, candidate="v2"):
    """Complete the running rollout."""
    control.step(Action.EXPOSE, share_ppm=50_000)
    control.step(Action.SHIFT)
    control.step(Action.COMPLETE)
    assert control.rollouts.last("a").phase is Phase.COMPLETED


def test_an_order_is_a_version_that_exposes_nothing(control):
    before = control.state.versions.current
    outcome = control.order()
    assert isinstance(outcome, Ordered) and outcome.is_new
    current = control.state.versions.current
    assert current.version == outcome.rollout.order > before.version
    assert (current.text, current.label) == (before.text, before.label)
    assert control.mesh.services["a"].exposure == Exposure(candidate="v2")
    assert control.mesh.services["b"].exposure is None


def test_steps_change_the_exposure_and_the_version(control):
    control.order()
    versions = [control.state.versions.current_version]
    for action, fields, share_ppm in (
        (Action.EXPOSE, {"share_ppm": 20_000}, 20_000),
        (Action.SHIFT, {}, 1_000_000),
    ):
        control.step(action, **fields)
        versions.append(control.state.versions.current_version)
        exposure = control.mesh.services["a"].exposure
        assert exposure.share_ppm == share_ppm
    assert versions == sorted(set(versions))
    for action in (Action.TICK, Action.COMPLETE):
        control.step(action)
        assert control.state.versions.current_version == versions[-1]


def test_an_order_given_again_is_acknowledged_in_every_phase(control):
    first = control.order()
    for action in (None, Action.EXPOSE, Action.SHIFT, Action.COMPLETE):
        if action:
            control.step(action)
        version = control.state.versions.current_version
        again = control.order(seconds=30)
        assert isinstance(again, Ordered) and not again.is_new
        assert again.rollout.order == first.rollout.order
        assert again.rollout.finish_by_ms == 12_000
        assert control.state.versions.current_version == version


@pytest.mark.parametrize("action", [None, Action.ROLL_BACK])
def test_an_order_given_again_is_acknowledged_without_its_service(
    control, action
):
    """The configuration has lost the service since the order."""
    first = control.order()
    submit(
        control.versions,
        "second",
        base=control.state.versions.current_version,
        text=b'name = "m"\n[services.b]\n',
    )
    if action:
        control.step(action)
    again = control.order()
    assert isinstance(again, Ordered) and not again.is_new
    assert again.rollout.order == first.rollout.order
    assert isinstance(control.order("v3"), Refused)


@pytest.mark.parametrize(
    "fields",
    [
        {"service": "none"},
        {"service": ""},
        {"seconds": 0},
        {"seconds": -1},
        {"seconds": 0.0001},
        {"seconds": float("nan")},
        {"seconds": float("inf")},
        {"seconds": 10**400},
        {"candidate": ""},
        {"candidate": "v 2"},
        {"candidate": "v" * 101},
        {"candidate": "vé"},
    ],
)
def test_a_senseless_order_is_refused_and_logs_nothing(control, fields):
    index = control.replica.index
    assert isinstance(control.order(**fields), Refused)
    assert control.replica.index == index


def test_only_one_rollout_of_a_service_runs_but_services_are_independent(
    control,
):
    control.order("v2")
    assert isinstance(control.order("v3"), Refused)
    assert isinstance(control.order("v3", service="b"), Ordered)
    assert control.rollouts.last("a").candidate == "v2"
    assert control.mesh.services["b"].exposure.candidate == "v3"


def test_a_version_that_was_rolled_back_gets_nothing_for_good(control):
    control.order("v2")
    control.step(Action.EXPOSE, share_ppm=10_000)
    control.step(Action.ROLL_BACK, reason="bad")
    assert control.rollouts.last("a").phase is Phase.ROLLED_BACK
    assert control.mesh.services["a"].exposure == Exposure(
        candidate="v2", rejected=("v2",)
    )
    assert not control.order("v2").is_new
    control.order("v3")
    assert control.mesh.services["a"].exposure.rejected == ("v2",)
    late_copy = control.order("v2")
    assert late_copy.rollout.phase is Phase.ROLLED_BACK
    finish(control, "v3")
    control.step(Action.SETTLE)
    exposure = control.mesh.services["a"].exposure
    assert (exposure.share_ppm, exposure.rejected) == (0, ("v2",))


def test_a_settled_rollout_leaves_no_exposure(control):
    control.order("v2")
    finish(control)
    assert control.mesh.services["a"].exposure.share_ppm == 1_000_000
    control.step(Action.SETTLE)
    assert control.mesh.services["a"].exposure is None
    assert not control.order("v2").is_new


def test_a_step_on_an_older_state_is_ignored(control):
    control.order()
    control.step(Action.EXPOSE, share_ppm=10_000)
    version = control.state.versions.current_version
    assert control.step(Action.SHIFT, number=0) == Outdated()
    # Complete without a shift, and steps after the end.
    assert control.step(Action.COMPLETE) == Outdated()
    assert control.state.versions.current_version == version
    control.step(Action.ROLL_BACK)
    assert control.step(Action.EXPOSE, share_ppm=1) == Outdated()
    assert control.rollouts.last("a").share_ppm == 0


def test_an_abort_rolls_back_until_completion(control):
    abort = {"service": "a", "candidate": "v2", "operator": "bob"}
    assert isinstance(control.rollouts.abort(**abort), Refused)
    control.order()
    assert isinstance(
        control.rollouts.abort(**{**abort, "candidate": "v3"}), Refused
    )
    aborted = control.rollouts.abort(**abort)
    assert aborted.rollout.phase is Phase.ROLLED_BACK
    assert "bob" in aborted.rollout.reason
    assert not control.rollouts.abort(**abort).is_new
    control.order("v3")
    finish(control)
    done = control.rollouts.abort(**{**abort, "candidate": "v3"})
    assert isinstance(done, Refused)


def test_configurations_go_on_beside_a_rollout(control):
    configured = control.state.versions.configuration
    control.order()
    control.step(Action.EXPOSE, share_ppm=10_000)
    assert control.versions.history() == (configured,)
    # Based on the configuration, or on a version that a step made of it.
    second = submit(
        control.versions,
        "second",
        text=MESH + b"[services.c]\n",
        base=configured.version,
    )
    assert isinstance(second, Accepted)
    assert control.state.versions.current_version == second.version
    assert control.mesh.services["a"].exposure.share_ppm == 10_000
    control.step(Action.EXPOSE, share_ppm=20_000)
    exposed = control.state.versions.current_version
    conflict = submit(
        control.versions, "x", text=MESH, base=configured.version
    )
    assert conflict == Conflict(winner=second.version, winner_operator="ann")
    third = submit(
        control.versions, "third", text=b'name = "m"\n', base=exposed
    )
    assert isinstance(third, Accepted)
    assert control.mesh.services == {}
    back = control.versions.rollback(
        submission_id="back",
        operator="ann",
        to=second.version,
        base=third.version,
    )
    assert isinstance(back, Accepted)
    assert control.mesh.services["a"].exposure.share_ppm == 20_000
    assert len(control.versions.history()) == 4


def test_the_text_is_counted_and_parsed_once(control):
    versions = control.state.versions
    size = versions._history_bytes
    parsed = []
    versions._parse = parsed.append
    control.order()
    for share_ppm in range(1, 100):
        control.step(Action.EXPOSE, share_ppm=share_ppm)
        assert control.mesh.services["a"].exposure.share_ppm == share_ppm
    assert versions._history_bytes == size
    assert len(versions.records_by_version) == 1
    assert not parsed


def test_a_snapshot_has_the_rollouts(control):
    control.order("v2")
    control.step(Action.ROLL_BACK, reason="bad", elapsed_ms=700)
    control.order("v3")
    control.step(Action.EXPOSE, share_ppm=10_000, evidence="1 of 9")
    seen = []
    restored = make_state()
    restored.versions.on_change(lambda record: seen.append(record.version))
    restored.restore(control.state.snapshot())
    assert seen == [control.state.versions.current_version]
    assert restored.versions.current == control.state.versions.current
    assert restored.versions.current.mesh == control.mesh
    assert restored.rollouts.to_plain() == control.state.rollouts.to_plain()
    assert restored.rollouts.elapsed_seconds("a") == 0
    # The next entries have the same effect on both.
    for state in (control.state, restored):
        state.apply(
            Position(term=2, index=99),
            encode_command(
                Step(
                    service="a",
                    order=control.rollouts.last("a").order,
                    number=1,
                    action=Action.SHIFT,
                    elapsed_ms=900,
                )
            ),
        )
    assert restored.versions.current == control.state.versions.current


def test_snapshots_without_rollouts_are_those_of_earlier_releases(control):
    old = control.state.versions.snapshot()
    assert control.state.snapshot() == old
    control.order()
    control.state.restore(old)
    assert control.rollouts.last("a") is None
    assert control.mesh.services["a"].exposure is None
    restored = make_state()
    restored.restore(old)
    assert restored.versions.current.text == MESH


def test_elapsed_time_goes_on_from_the_last_entry():
    now = [50.0]
    state = make_state(monotonic=lambda: now[0])
    replica = Replica(state)
    service = RolloutService(replica=replica, state=state)
    submit(
        VersionService(replica=replica, versions=state.versions),
        "x",
        text=MESH,
    )
    service.order(
        service="a", candidate="v2", finish_by_seconds=5, operator="ann"
    )
    now[0] += 2.5
    assert state.rollouts.elapsed_seconds("a") == 2.5
    state.restore(state.snapshot())
    assert state.rollouts.elapsed_seconds("a") == 0
    last = service.last("a")
    tick = Step(
        service="a",
        order=last.order,
        number=0,
        action=Action.TICK,
        elapsed_ms=2600,
    )
    replica.propose(command=encode_command(tick), timeout_seconds=1)
    now[0] += 0.5
    assert state.rollouts.elapsed_seconds("a") == pytest.approx(3.1)


def test_unknown_commands_are_refused_and_change_nothing(control):
    import msgpack

    for command in (
        msgpack.packb([751, "order", {}]),
        msgpack.packb([750, "unheard", {}]),
        msgpack.packb([750, "order", {"service": "a"}]),
        msgpack.packb([750]),
    ):
        assert control.state.refusal(command)
        result = control.replica.propose(command=command, timeout_seconds=1)
        assert isinstance(decode_outcome(result.result), Refused)
    assert "no submission" in control.state.refusal(b"")
    assert control.rollouts.last("a") is None


def test_without_a_quorum_an_order_is_unavailable(control):
    control.replica.has_quorum = False
    assert isinstance(control.order(service="none"), Unavailable)
    control.replica.outcome = ReplicaUnavailable(reason="no leader")
    assert isinstance(control.order(), Unavailable)


def test_an_exposure_survives_the_encoding_for_proxies():
    service = Service(
        exposure=Exposure(candidate="v2", share_ppm=7, rejected=("v1",))
    )
    assert decode_entry(encode_entry(service), Service) == service


@pytest.fixture
def call():
    control = make_control(parse_configuration)
    application = interfaces.make_operator(
        token="",
        versions=control.versions,
        control=None,
        rollouts=control.rollouts,
    )

    def send(method, path, body=b""):
        statuses = []
        chunks = application(
            {
                "REQUEST_METHOD": method,
                "PATH_INFO": path,
                "CONTENT_LENGTH": str(len(body)),
                "HTTP_IF_MATCH": "0",
                "wsgi.input": io.BytesIO(body),
            },
            lambda status, headers: statuses.append(int(status[:3])),
        )
        return statuses[0], json.loads(b"".join(chunks))

    assert send("PUT", "/config", make_configuration())[0] == 200
    send.control = control
    return send


def platform_order(**changed):
    order = {"Service": "one", "TargetVersion": "v2", "FinishByS": 12}
    return json.dumps({**order, **changed}).encode()


def test_the_platform_orders_and_reads(call):
    running = {"State": "running", "TargetVersion": "v2"}
    assert call("GET", "/rollouts/one")[0] == 404
    assert call("POST", "/rollouts", platform_order()) == (200, running)
    assert call("POST", "/rollouts", platform_order()) == (200, running)
    assert call("GET", "/rollouts/one") == (200, running)
    call.control.step(Action.SHIFT, service="one")
    assert call("GET", "/rollouts/one") == (200, running)
    call.control.step(Action.COMPLETE, service="one")
    done = {**running, "State": "completed"}
    assert call("GET", "/rollouts/one") == (200, done)
    assert call("POST", "/rollouts", platform_order()) == (200, done)
    other = platform_order(TargetVersion="v3")
    assert call("POST", "/rollouts", other)[0] == 200
    call.control.step(Action.ROLL_BACK, service="one")
    assert call("GET", "/rollouts/one")[1]["State"] == "rolled_back"
    assert (
        json.loads(call.control.state.versions.current.text)
        == call("GET", "/config")[1]
    )


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"\xff",
        platform_order(Service="none"),
        platform_order(Service=7),
        platform_order(TargetVersion=""),
        platform_order(TargetVersion=None),
        platform_order(FinishByS=0),
        platform_order(FinishByS=-3),
        platform_order(FinishByS="12"),
        platform_order(FinishByS=True),
        platform_order(FinishByS=10**400),
        platform_order().replace(b"12", b"1e999"),
    ],
)
def test_the_platforms_invalid_orders_get_status_400(call, body):
    assert call("POST", "/rollouts", body)[0] == 400
    assert call.control.rollouts.last("one") is None


def test_the_platform_gets_400_for_another_order_and_503_when_unsure(call):
    call("POST", "/rollouts", platform_order())
    other = platform_order(TargetVersion="v3")
    assert call("POST", "/rollouts", other)[0] == 400
    call.control.replica.has_quorum = False
    assert call("GET", "/rollouts/one")[0] == 503
    call.control.replica.outcome = ReplicaUnavailable(reason="no leader")
    assert call("POST", "/rollouts", platform_order())[0] == 503
    assert call("DELETE", "/rollouts/one")[0] == 405
    assert call("GET", "/rolloutsx")[0] == 404
    assert call.control.state.versions.current_version > NO_VERSION

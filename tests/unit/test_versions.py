"""The state machine of accepted versions, and its service."""

import json
import random

import attrs
import msgpack
import pytest
import zstandard

from verbenanotch.catalog import (
    NO_VERSION,
    Accepted,
    Conflict,
    Rejected,
    Submission,
    Unavailable,
    Unknown,
    Version,
)
from verbenanotch.replication import Committed, Position
from verbenanotch.replication import Unavailable as ReplicaUnavailable
from verbenanotch.replication import Unknown as ReplicaUnknown
from verbenanotch.versions import (
    VersionService,
    VersionStateMachine,
    _patches,
    _state_machine,
)
from verbenanotch.versions._patches import apply_patch, make_patch

MESH = b'name = "m"\n[services.a]\n'


class LocalReplica:
    """Replica that applies each command at once or has a fixed outcome."""

    def __init__(self, versions):
        """Apply to `versions`."""
        self.versions = versions
        self.index = 0
        self.outcome = None

    def propose(self, *, command, timeout_seconds):
        """Return the outcome of a command."""
        if self.outcome is not None:
            return self.outcome
        self.index += 1
        position = Position(term=1, index=self.index)
        result = self.versions.apply(position, command)
        return Committed(position=position, result=result)


@pytest.fixture
def versions():
    return VersionStateMachine()


@pytest.fixture
def service(versions):
    return VersionService(replica=LocalReplica(versions), versions=versions)


def submit(service, submission_id, *, base=None, text=MESH):
    if base is None:
        base = service.versions.current_version
    return service.submit(
        submission=Submission(
            submission_id=submission_id, operator="ann", text=text, base=base
        )
    )


def make_submission(versions, text=MESH):
    return Submission(
        submission_id="new",
        operator="ann",
        text=text,
        base=versions.current_version,
    )


def test_versions_increase_and_callbacks_are_called(service, versions):
    seen = []
    versions.on_change(lambda record: seen.append(record.version))
    first = submit(service, "a")
    second = submit(service, "b")
    assert first.version < second.version
    assert seen == [first.version, second.version]
    assert versions.current.text == MESH
    assert versions.current.mesh.name == "m"


def test_resend_gets_the_first_outcome_accepted_or_not(service):
    accepted = submit(service, "a")
    conflict = submit(service, "b", base=NO_VERSION)
    assert conflict == Conflict(winner=accepted.version, winner_operator="ann")
    submit(service, "c")
    assert submit(service, "a", base=NO_VERSION) == accepted
    assert submit(service, "b") == conflict


def test_submission_id_with_another_file_is_rejected(service, versions):
    submit(service, "a")
    refused = submit(service, "a", text=MESH + b"[services.b]\n")
    assert isinstance(refused, Rejected)
    assert refused.problems[0].key == "submission_id"
    assert len(versions.records_by_version) == 1


def test_invalid_file_is_refused_and_a_wrong_digest_rejected(
    service, versions
):
    assert isinstance(submit(service, "a", text=b"x"), Rejected)
    assert service.replica.index == 0
    invalid = Submission(submission_id="b", operator="ann", text=b"x")
    command = _state_machine.encode_submission(invalid)
    assert "rejects the file" in versions.refusal(command)
    valid = attrs.evolve(invalid, text=MESH)
    assert versions.refusal(_state_machine.encode_submission(valid)) == ""
    *values, digest, patched = msgpack.unpackb(
        _state_machine.encode_submission(valid)
    )
    tampered = msgpack.packb([*values, b"0" * len(digest), patched])
    result = service.replica.propose(
        command=tampered, timeout_seconds=1
    ).result
    assert isinstance(_state_machine.decode_outcome(result), Rejected)
    assert versions.current is None


def test_rollback_is_a_new_version_with_the_old_text(service, versions):
    first = submit(service, "a")
    second = submit(service, "b", text=MESH + b"[services.b]\n")
    third = service.rollback(
        submission_id="c",
        operator="bob",
        to=first.version,
        base=second.version,
    )
    assert third.version > second.version
    assert versions.current.text == MESH
    assert versions.current.rollback_to == first.version
    missing = service.rollback(
        submission_id="d",
        operator="bob",
        to=Version(epoch=9, index=9),
        base=third.version,
    )
    assert isinstance(missing, Rejected)


def test_a_snapshot_keeps_versions_and_outcomes(service, versions):
    accepted = submit(service, "a")
    conflict = submit(service, "b", base=NO_VERSION)
    restored = VersionStateMachine()
    seen = []
    restored.on_change(lambda record: seen.append(record.version))
    restored.restore(versions.snapshot())
    assert restored.current == versions.current
    assert seen == [accepted.version]
    again = VersionService(replica=LocalReplica(restored), versions=restored)
    assert submit(again, "a") == accepted
    assert submit(again, "b") == conflict


def test_history_and_stored_outcomes_are_bounded(
    service, versions, monkeypatch
):
    monkeypatch.setattr(_state_machine, "MAX_RECORDS", 3)
    monkeypatch.setattr(_state_machine, "MAX_STORED_OUTCOMES", 4)
    for number in range(9):
        outcome = submit(service, str(number))
        assert isinstance(outcome, Accepted)
    assert [v.index for v in versions.records_by_version] == [7, 8, 9]
    evicted = submit(service, "0", base=NO_VERSION)
    assert isinstance(evicted, Conflict)
    monkeypatch.setattr(_state_machine, "MAX_HISTORY_BYTES", 1)
    submit(service, "last")
    assert len(versions.records_by_version) == 1


def test_unavailable_and_unknown_are_distinguished(service):
    service.replica.outcome = ReplicaUnavailable(reason="cut")
    assert isinstance(submit(service, "a"), Unavailable)
    service.replica.outcome = ReplicaUnknown(reason="cut")
    assert isinstance(submit(service, "a"), Unknown)


def test_undecodable_command_is_rejected(versions):
    position = Position(term=1, index=1)
    for command in (
        b"",
        b"\xc1",
        b"\x93",
        b"\x01",
        b"\x96\x01\x02\x03\x04\x05",
    ):
        outcome = _state_machine.decode_outcome(
            versions.apply(position, command)
        )
        assert isinstance(outcome, Rejected)
    assert versions.current is None


def test_a_change_of_one_route_adds_little_to_the_log(service, versions):
    """The whole file would cross to each control host with each change."""
    numbers = random.Random(1)
    routes = [
        f"[routes.r{numbers.randbytes(4).hex()}]\n"
        f"host = '{numbers.choice('ab')}.example'\n"
        f"prefix = '/{numbers.randbytes(4).hex()}'\nservice = 'a'\n"
        f"timeout_ms = {numbers.choice((400, 1000))}\nmax_attempts = 2\n"
        for _ in range(2500)
    ]
    submit(service, "first", text=MESH + "".join(routes).encode())
    whole = _state_machine.encode_submission(
        make_submission(versions, text=versions.current.text)
    )
    routes[500] = "[routes.other]\nprefix = '/other'\nservice = 'a'\n"
    text = MESH + "".join(routes).encode()
    command = versions.encode(make_submission(versions, text=text))
    assert len(command) < 500 < len(whole) / 20
    assert versions.refusal(command) == ""
    versions.apply(Position(term=1, index=2), command)
    assert versions.current.text == text


def test_a_patch_of_another_version_is_not_applied(service, versions):
    submit(service, "first")
    command = versions.encode(
        make_submission(versions, text=MESH + b"[services.b]\n")
    )
    other = VersionStateMachine()
    assert other.refusal(command) == "the command is no submission"
    result = other.apply(Position(term=1, index=2), command)
    assert isinstance(_state_machine.decode_outcome(result), Rejected)
    assert other.current is None


def test_commands_of_earlier_releases_are_applied(versions):
    *values, patched = msgpack.unpackb(
        _state_machine.encode_submission(make_submission(versions))
    )
    assert patched == str(NO_VERSION)
    versions.apply(Position(term=1, index=1), msgpack.packb(values))
    assert versions.current.text == MESH


@pytest.mark.parametrize(
    ("text", "older"),
    [(b"", b""), (b"", MESH), (MESH, b""), (MESH, MESH), (MESH * 9, MESH)],
)
def test_a_patch_makes_the_text_it_was_made_from(text, older):
    assert apply_patch(make_patch(text, older), older) == text


def test_a_patch_between_files_of_similar_routes_is_small():
    """Long-distance matching found a hundredth of what there is in common."""
    rng = random.Random(1)

    def word(length):
        return "".join(
            rng.choices("23456789abcdefghjkmnpqrstuvwxyz", k=length)
        )

    routes = {
        f"r-{word(7)}": {
            "host": f"{rng.choice('ab')}.example",
            "prefix": f"/{word(8)}/",
            "kind": rng.choice(["safe", "unsafe"]),
            "timeout": rng.choice([0.4, 1, 1.1]),
            "priority": 0,
            "service": rng.choice(["tracker", "orders", "till"]),
        }
        for _ in range(2500)
    }
    older = json.dumps({"version": 8, "routes": routes}).encode()
    del routes[list(routes)[900]]
    routes["r-new"] = {"host": "a.example", "prefix": "/new/"}
    text = json.dumps({"version": 12, "routes": routes}).encode()
    assert len(make_patch(text, older)) < 300


def test_only_a_patch_can_be_applied():
    patch = make_patch(MESH * 9, MESH)
    for data in (b"", b"x", patch[:-1], bytes(100)):
        with pytest.raises(ValueError):
            apply_patch(data, MESH)


def test_no_patch_is_made_of_a_text_over_the_limit(monkeypatch):
    monkeypatch.setattr(_patches, "MAX_PATCHED_BYTES", len(MESH) - 1)
    assert make_patch(MESH, b"") is None
    with pytest.raises(ValueError):
        apply_patch(zstandard.compress(MESH), MESH)


def test_a_file_too_large_for_the_log_is_rejected(service, monkeypatch):
    monkeypatch.setattr("verbenanotch.versions._service.MAX_COMMAND_BYTES", 10)
    assert isinstance(submit(service, "a"), Rejected)
    assert service.replica.index == 0

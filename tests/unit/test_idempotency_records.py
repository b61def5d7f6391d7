"""Idempotency keys, the record store, and the holders of keys."""

import random

import msgpack
import pytest

from verbenanotch.idempotency import (
    AlreadyFinished,
    Answer,
    Begun,
    Handoff,
    InProgress,
    KeyConflict,
    OutcomeUnknown,
    Record,
    RecordHolder,
    RecordStore,
    Refused,
    State,
    View,
    holders_for_key,
    home_zone,
    issued_at_ms,
    new_key,
    next_view,
)
from verbenanotch.idempotency._members import (
    SHARD_COUNT,
    holders_for_shard,
    identities,
    shards_held,
    updated_holders,
)
from verbenanotch.idempotency._records import merge
from verbenanotch.wire import decode, encode

NOW_MS = 1_764_800_000_000
KEY = f"{NOW_MS}-booking-1"
ANSWER = Answer(status=201, headers=(("a", "b"),), body=b"booked")


@pytest.fixture
def store():
    return RecordStore(max_bytes=100_000, max_age_seconds=60.0)


def begin(store, key=KEY, *, digest=b"d", token="t1", **fields):
    fields = {"wall_ms": NOW_MS, "timeout_ms": 1000, **fields}
    return store.begin(key, digest, token=token, **fields)


def record(state, token, **fields):
    return Record(
        key=KEY,
        digest=b"d",
        state=state,
        token=token,
        issued_at_ms=NOW_MS,
        deadline_ms=NOW_MS,
        **fields,
    )


def test_key_contains_its_time_of_issue():
    key = new_key(now_ms=NOW_MS, random=random.Random(1))
    assert issued_at_ms(key) == issued_at_ms(KEY) == NOW_MS
    assert issued_at_ms("order-17") is None
    assert issued_at_ms(f"{NOW_MS}-{'x' * 200}") is None


def test_repeated_key_gets_the_recorded_answer(store):
    assert isinstance(begin(store), Begun)
    assert isinstance(begin(store, token="t2"), InProgress)
    assert store.finish(KEY, "t1", ANSWER)
    assert begin(store, token="t2") == AlreadyFinished(answer=ANSWER)


def test_started_attempt_is_unknown_after_its_deadline(store):
    begin(store)
    reply = begin(store, token="t2", wall_ms=NOW_MS + 1000)
    assert isinstance(reply, OutcomeUnknown)
    assert store.finish(KEY, "t1", ANSWER)
    assert isinstance(begin(store, token="t3"), AlreadyFinished)


def test_different_digest_is_a_conflict(store):
    begin(store)
    assert begin(store, digest=b"other", token="t2") == KeyConflict()


def test_released_key_starts_again_and_ignores_old_tokens(store):
    begin(store)
    assert store.release(KEY, "t1")
    assert begin(store, token="t2") == Begun(released=("t1",))
    assert not store.release(KEY, "t1")
    assert not store.finish(KEY, "t1", ANSWER)
    assert isinstance(begin(store, token="t3"), InProgress)


def test_started_record_is_replaced_only_if_its_token_is_released(store):
    """The second holder may have missed the release of an attempt.

    The first holder then names the token of that attempt in the next Begin.
    """
    begin(store)
    assert isinstance(begin(store, token="t2", released=("x",)), InProgress)
    assert isinstance(begin(store, token="t2", released=("t1",)), Begun)


def test_full_store_refuses_new_keys_and_keeps_its_records():
    """A key whose record was evicted could run again."""
    store = RecordStore(max_bytes=2000, max_age_seconds=60.0)
    replies = [begin(store, f"{NOW_MS}-{n}", token=f"t{n}") for n in range(4)]
    assert [type(reply) for reply in replies] == [Begun, Begun] + [Refused] * 2
    assert replies[2].not_run
    assert replies[2].retry_after_ms > 0
    assert isinstance(begin(store, f"{NOW_MS}-0", token="x"), InProgress)
    assert store.used_bytes <= 2000


def test_answer_that_does_not_fit_becomes_unknown():
    store = RecordStore(max_bytes=1500, max_age_seconds=60.0)
    begin(store)
    store.finish(KEY, "t1", Answer(status=200, body=bytes(5000)))
    assert isinstance(begin(store, token="t2"), OutcomeUnknown)


@pytest.mark.parametrize("age_ms", [60_001, 64_001, 10**9])
def test_expired_key_is_never_started(store, age_ms):
    begin(store)
    store.finish(KEY, "t1", ANSWER)
    reply = begin(store, token="t2", wall_ms=NOW_MS + age_ms)
    if age_ms > 64_000:
        assert reply == OutcomeUnknown(reason="too-old")
        assert len(store) == 0
        assert store.used_bytes == 0
    else:
        assert isinstance(reply, AlreadyFinished)


def test_expired_key_stays_too_old_after_clock_steps_back(store):
    """The key must not seem new, although its record has been dropped."""
    begin(store)
    store.expire(NOW_MS + 100_000)
    assert begin(store, token="t2") == OutcomeUnknown(reason="too-old")


def test_key_issued_before_records_are_complete_is_unknown(store):
    reply = begin(store, complete_since_ms=NOW_MS)
    assert reply == OutcomeUnknown(reason="before-records")
    assert isinstance(begin(store, complete_since_ms=NOW_MS - 1), Begun)


def test_released_key_issued_before_records_are_complete_is_unknown(store):
    """Another attempt, whose record is missing here, may have run."""
    begin(store)
    store.release(KEY, "t1")
    reply = begin(store, token="t2", complete_since_ms=NOW_MS)
    assert reply == OutcomeUnknown(reason="before-records")


def test_key_ahead_of_the_clock_is_refused_with_delay(store):
    match begin(store, wall_ms=NOW_MS - 10_000):
        case Refused(reason="key-ahead", retry_after_ms=8000, not_run=True):
            pass
        case reply:
            pytest.fail(f"unexpected {reply}")


@pytest.mark.parametrize(
    ("one", "other", "state", "token"),
    [
        (record(State.STARTED, "a"), record(State.FINISHED, "a"), 4, "a"),
        (record(State.STARTED, "a"), record(State.RELEASED, "a"), 2, "a"),
        (record(State.STARTED, "a"), record(State.RELEASED, "b"), 1, "a"),
        (record(State.STARTED, "a"), record(State.STARTED, "b"), 3, None),
        (
            record(State.STARTED, "a"),
            record(State.STARTED, "b", released=("a",)),
            1,
            "b",
        ),
        (record(State.UNKNOWN, "a"), record(State.RELEASED, "b"), 3, "a"),
    ],
)
def test_merge_keeps_attempts_that_may_have_run(one, other, state, token):
    for merged in (merge(one, other), merge(other, one)):
        assert merged.state == state
        assert token is None or merged.token == token


def test_handoff_is_decoded_as_encoded():
    handoff = Handoff(
        shard_number=1,
        holder_epoch=2,
        sender=("h", 1),
        required=(("h", 1),),
        complete_since_ms=0,
        chunk=0,
        chunk_count=1,
        records=(
            record(State.FINISHED, "a", answer=ANSWER),
            record(State.STARTED, "b"),
        ),
    )
    assert decode(msgpack.unpackb(encode(handoff), use_list=True)) == handoff


def members(*hosts, zone="rennes"):
    return tuple(
        RecordHolder(
            host=host,
            availability_zone=zone,
            address="127.0.0.1",
            peer_port=1,
            incarnation=1,
        )
        for host in hosts
    )


def test_holders_are_in_home_zone_and_change_only_if_removed():
    """With six members, removing one changes about a third of the keys."""
    all_members = members(*"abcdef") + members("x", zone="quimper")
    changed_count = 0
    for number in range(300):
        key = f"{NOW_MS}-{number}"
        first, second = holders_for_key(key, all_members, home_zone="rennes")
        assert first != second
        assert "rennes" == first.availability_zone == second.availability_zone
        remaining = [member for member in all_members if member.host != "a"]
        holders = holders_for_key(key, remaining, home_zone="rennes")
        if "a" not in (first.host, second.host):
            assert holders == (first, second)
        else:
            changed_count += 1
            assert len({first, second} & set(holders)) == 1
    assert 60 < changed_count < 140
    assert holders_for_key(KEY, (), home_zone="rennes") == (None, None)


def test_home_zone_does_not_depend_on_order_of_zones():
    zones = ["a", "b", "c", "d"]
    home_zones = {home_zone(f"{NOW_MS}-{n}", zones) for n in range(100)}
    assert home_zones == set(zones)
    assert home_zone(KEY, zones) == home_zone(KEY, zones[::-1])


def all_holders(view):
    return {
        shard_number: holders_for_shard(shard_number, view.members)
        for shard_number in range(SHARD_COUNT)
    }


def test_updated_holders_equal_newly_computed_ones():
    generator = random.Random(5)
    view = View(availability_zone="rennes", epoch=0, members=())
    holders_by_shard = all_holders(view)
    for _ in range(12):
        hosts = generator.sample("abcdefg", generator.randrange(7))
        following = next_view(view, members(*hosts))
        holders_by_shard = updated_holders(holders_by_shard, view, following)
        assert holders_by_shard == all_holders(following)
        view = following


def test_shards_held_are_those_with_the_host_as_holder():
    view = View(availability_zone="z", epoch=1, members=members(*"abcdefg"))
    expected = [
        shard_number
        for shard_number, holders in all_holders(view).items()
        if ("c", 1) in identities(holders)
    ]
    assert shards_held("c", view.members) == expected

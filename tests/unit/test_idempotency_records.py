"""Keys, records in bounded memory, and the holders of keys."""

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


def test_keys_tell_when_they_were_issued():
    key = new_key(now_ms=NOW_MS, random=random.Random(1))
    assert issued_at_ms(key) == issued_at_ms(KEY) == NOW_MS
    assert issued_at_ms("order-17") is None
    assert issued_at_ms(f"{NOW_MS}-{'x' * 200}") is None


def test_second_ask_gets_the_first_answer(store):
    assert isinstance(begin(store), Begun)
    assert isinstance(begin(store, token="t2"), InProgress)
    assert store.finish(KEY, "t1", ANSWER)
    assert begin(store, token="t2") == AlreadyFinished(answer=ANSWER)


def test_attempt_past_its_deadline_is_unknown(store):
    begin(store)
    late = begin(store, token="t2", wall_ms=NOW_MS + 1000)
    assert isinstance(late, OutcomeUnknown)
    assert store.finish(KEY, "t1", ANSWER)
    assert isinstance(begin(store, token="t3"), AlreadyFinished)


def test_other_body_is_a_conflict(store):
    begin(store)
    assert begin(store, digest=b"other", token="t2") == KeyConflict()


def test_released_key_starts_again_and_old_tokens_change_nothing(store):
    begin(store)
    assert store.release(KEY, "t1")
    assert begin(store, token="t2") == Begun(released=("t1",))
    assert not store.release(KEY, "t1")
    assert not store.finish(KEY, "t1", ANSWER)
    assert isinstance(begin(store, token="t3"), InProgress)


def test_started_record_gives_way_only_to_a_release_by_name(store):
    begin(store)
    assert isinstance(begin(store, token="t2", released=("x",)), InProgress)
    assert isinstance(begin(store, token="t2", released=("t1",)), Begun)


def test_full_store_refuses_and_forgets_nothing():
    store = RecordStore(max_bytes=2000, max_age_seconds=60.0)
    replies = [begin(store, f"{NOW_MS}-{n}", token=f"t{n}") for n in range(4)]
    assert [type(reply) for reply in replies] == [Begun, Begun] + [Refused] * 2
    assert replies[2].not_run
    assert replies[2].retry_after_ms > 0
    assert isinstance(begin(store, f"{NOW_MS}-0", token="x"), InProgress)
    assert store.used_bytes <= 2000


def test_answer_without_room_is_unknown_on_the_next_ask():
    store = RecordStore(max_bytes=1500, max_age_seconds=60.0)
    begin(store)
    store.finish(KEY, "t1", Answer(status=200, body=bytes(5000)))
    assert isinstance(begin(store, token="t2"), OutcomeUnknown)


@pytest.mark.parametrize("age_ms", [60_001, 64_001, 10**9])
def test_expired_key_is_unknown_and_never_started(store, age_ms):
    begin(store)
    store.finish(KEY, "t1", ANSWER)
    reply = begin(store, token="t2", wall_ms=NOW_MS + age_ms)
    if age_ms > 64_000:
        assert reply == OutcomeUnknown(reason="too-old")
        assert len(store) == 0
        assert store.used_bytes == 0
    else:
        assert isinstance(reply, AlreadyFinished)


def test_clock_that_steps_back_does_not_reopen_an_expired_key(store):
    begin(store)
    store.expire(NOW_MS + 100_000)
    assert begin(store, token="t2") == OutcomeUnknown(reason="too-old")


def test_key_issued_before_the_records_is_unknown(store):
    reply = begin(store, complete_since_ms=NOW_MS)
    assert reply == OutcomeUnknown(reason="before-records")
    assert isinstance(begin(store, complete_since_ms=NOW_MS - 1), Begun)


def test_released_key_from_before_the_records_is_unknown(store):
    begin(store)
    store.release(KEY, "t1")
    reply = begin(store, token="t2", complete_since_ms=NOW_MS)
    assert reply == OutcomeUnknown(reason="before-records")


def test_key_ahead_of_the_clock_waits(store):
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
def test_merge_keeps_what_may_have_run(one, other, state, token):
    for merged in (merge(one, other), merge(other, one)):
        assert merged.state == state
        assert token is None or merged.token == token


def test_handoff_survives_the_wire():
    item = Handoff(
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
    assert decode(msgpack.unpackb(encode(item), use_list=True)) == item


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


def test_holders_are_two_of_the_home_zone_and_move_little():
    everyone = members(*"abcdef") + members("x", zone="quimper")
    moved = 0
    for number in range(300):
        key = f"{NOW_MS}-{number}"
        first, second = holders_for_key(key, everyone, home_zone="rennes")
        assert first != second
        assert "rennes" == first.availability_zone == second.availability_zone
        less = [member for member in everyone if member.host != "a"]
        holders = holders_for_key(key, less, home_zone="rennes")
        if "a" not in (first.host, second.host):
            assert holders == (first, second)
        else:
            moved += 1
            assert len({first, second} & set(holders)) == 1
    assert 60 < moved < 140
    assert holders_for_key(KEY, (), home_zone="rennes") == (None, None)


def test_home_zone_does_not_depend_on_the_order_of_zones():
    zones = ["a", "b", "c", "d"]
    homes = {home_zone(f"{NOW_MS}-{n}", zones) for n in range(100)}
    assert homes == set(zones)
    assert home_zone(KEY, zones) == home_zone(KEY, zones[::-1])


def all_holders(view):
    return {
        shard_number: holders_for_shard(shard_number, view.members)
        for shard_number in range(SHARD_COUNT)
    }


def test_pairs_are_updated_like_from_scratch():
    generator = random.Random(5)
    view = View(availability_zone="rennes", epoch=0, members=())
    holders_by_shard = all_holders(view)
    for _ in range(12):
        hosts = generator.sample("abcdefg", generator.randrange(7))
        changed = next_view(view, members(*hosts))
        holders_by_shard = updated_holders(holders_by_shard, view, changed)
        assert holders_by_shard == all_holders(changed)
        view = changed


def test_shards_held_are_those_whose_pair_names_the_host():
    view = View(availability_zone="z", epoch=1, members=members(*"abcdefg"))
    expected = [
        shard_number
        for shard_number, holders in all_holders(view).items()
        if ("c", 1) in identities(holders)
    ]
    assert shards_held("c", view.members) == expected

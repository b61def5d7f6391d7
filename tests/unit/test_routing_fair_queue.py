"""Client accounts share the queue of a full target."""

import heapq
import random

import pytest

from verbenanotch.routing import DeadlineQueue, Queued, QueueRefused

SLOTS = 5
SERVICE_SECONDS = 0.18
OBJECTIVE_SECONDS = 0.66
DEADLINE_SECONDS = 1.2
SMALL_ACCOUNTS = [f"small-{number}" for number in range(8)]


def play(*, fair, seed, seconds=60.0):
    """Return the served shares of the small accounts and of the large one.

    Load: eight accounts that together need 0.6 of a target's capacity, and
    one that sends twice the capacity.
    """
    choices = random.Random(seed)
    queue = DeadlineQueue(
        max_length=SLOTS, slots=SLOTS, service_seconds=SERVICE_SECONDS
    )
    capacity = SLOTS / SERVICE_SECONDS
    running, now = [], 0.0
    asked = dict.fromkeys(["small", "large"], 0)
    served = dict.fromkeys(["small", "large"], 0)

    def run(start, kind):
        end = start + SERVICE_SECONDS * choices.lognormvariate(-0.125, 0.5)
        heapq.heappush(running, (end, kind))

    while now < seconds:
        now += choices.expovariate(2.6 * capacity)
        while running and running[0][0] <= now:
            end, kind = heapq.heappop(running)
            served[kind] += 1
            waiting = queue.dequeue(end).item
            if waiting is not None:
                run(end, waiting)
        is_small = choices.random() < 0.6 / 2.6
        account = choices.choice(SMALL_ACCOUNTS) if is_small else "large"
        kind = "small" if is_small else "large"
        asked[kind] += 1
        if len(running) < SLOTS and not len(queue):
            run(now, kind)
            continue
        queue.offer(
            kind,
            now + DEADLINE_SECONDS,
            now,
            objective=now + OBJECTIVE_SECONDS,
            account=account if fair else "",
        )
    return {kind: served[kind] / asked[kind] for kind in asked}


@pytest.mark.parametrize("seed", range(4))
def test_small_accounts_are_served_beside_a_large_one(seed):
    fair = play(fair=True, seed=seed)
    unfair = play(fair=False, seed=seed)
    # The small accounts ask for less than their fair shares.
    assert 1 - fair["small"] < 0.5 * (1 - unfair["small"])
    # What is left goes to the large account.
    assert fair["large"] > 0.1


def offer(queue, item, account="", *, rank=1, deadline=9.0):
    return queue.offer(item, deadline, 0.0, rank=rank, account=account)


@pytest.fixture
def queue():
    return DeadlineQueue(max_length=3, slots=1, service_seconds=0.01)


def test_a_full_queue_refuses_the_account_with_the_most_requests(queue):
    for number in range(3):
        offer(queue, f"large {number}", "large", deadline=5.0)
    match offer(queue, "small", "small", deadline=9.0):
        case Queued(refused=refused):
            assert refused == ("large 2",)
        case outcome:
            pytest.fail(f"unexpected {outcome}")
    assert isinstance(offer(queue, "large 3", "large", deadline=4.0), Queued)
    assert isinstance(
        offer(queue, "small 2", "small", deadline=9.0), QueueRefused
    )


def test_ranks_go_before_shares(queue):
    for number in range(3):
        offer(queue, f"large {number}", "large", rank=0)
    refused = offer(queue, "small", "small", rank=1)
    assert isinstance(refused, QueueRefused)


def test_requests_without_an_account_are_ordered_by_deadline(queue):
    for number in range(3):
        offer(queue, number, deadline=5.0 + number)
    match offer(queue, "urgent", deadline=1.0):
        case Queued(refused=refused):
            assert refused == (2,)
        case outcome:
            pytest.fail(f"unexpected {outcome}")
    assert isinstance(offer(queue, "late", deadline=20.0), QueueRefused)


def test_a_request_that_would_wait_too_long_takes_the_place_of_another():
    queue = DeadlineQueue(max_length=9, slots=1, service_seconds=1.0)
    for number in range(4):
        offer(queue, f"large {number}", "large", deadline=6.0)
    # With four requests ahead it would be answered after about 7.8 s, with
    # three after 6.5 s.
    match queue.offer("small", 9.0, 0.0, rank=1, objective=7.0, account="s"):
        case Queued(refused=refused):
            assert refused == ("large 3",)
        case outcome:
            pytest.fail(f"unexpected {outcome}")

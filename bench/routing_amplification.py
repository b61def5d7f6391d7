"""Print the runs of a failing target per call, by depth of the call.

Run: `python -m bench.routing_amplification`. A pure walk down a chain of
services in which the last one always fails; every level has its own proxy
with its own budget. No network is involved.
"""

import random

from verbenanotch.routing import (
    AttemptContext,
    Retry,
    RetryBudget,
    decide_retry,
)

CALLS = 500
CALLS_PER_SECOND = 100.0
MAX_ATTEMPTS = 3
DEPTHS = (1, 3, 9)
MAX_RUNS = 200_000


class Chain:
    """Levels that call one another, with some of the three rules."""

    def __init__(self, *, depth, mark, travel, budget):
        """Choose the rules.

        `mark`: the failure says that retries were used up below. `travel`:
        attempts left go down with the call. `budget`: each level spends
        tokens.
        """
        self._depth = depth
        self._mark = mark
        self._travel = travel
        self._random = random.Random(1)
        self._unbounded = not budget
        self._budgets = [RetryBudget() for _ in range(depth)]
        self.runs = 0

    def call(self, now, *, level=0, context=None):
        """Make a call at a level; return whether its failure is marked."""
        if level == self._depth:
            self.runs += 1
            return False
        if context is None or not self._travel:
            context = AttemptContext(
                attempt=1, attempts_left=MAX_ATTEMPTS, deadline=now + 1e9
            )
        self._budgets[level].record_first_attempt(now)
        while self.runs < MAX_RUNS:
            marked = self.call(
                now, level=level + 1, context=context.for_next_hop()
            )
            outcome = decide_retry(
                context,
                may_have_run=True,
                idempotent=True,
                next_hop_exhausted=marked and self._mark,
                budget=self._budget(level),
                now=now,
                random=self._random,
            )
            if not isinstance(outcome, Retry):
                return True
            context = outcome.context
        return True

    def _budget(self, level):
        if self._unbounded:
            budget = RetryBudget()
            budget.tokens = 2.0
            return budget
        return self._budgets[level]


def runs_per_call(*, depth, **rules):
    """Return runs of the last target per call at the top."""
    chain = Chain(depth=depth, **rules)
    for number in range(CALLS):
        chain.call(number / CALLS_PER_SECOND)
        if chain.runs >= MAX_RUNS:
            break
    return chain.runs / (number + 1)


def main():
    """Print all figures."""
    rules = {
        "no rule": (False, False, False),
        "attempts travel": (False, True, False),
        "mark": (True, False, False),
        "budget": (False, False, True),
        "mark and budget": (True, False, True),
        "all three": (True, True, True),
    }
    for name, (mark, travel, budget) in rules.items():
        figures = [
            runs_per_call(depth=depth, mark=mark, travel=travel, budget=budget)
            for depth in DEPTHS
        ]
        text = ", ".join(
            f"depth {depth}: {figure:.2f}"
            for depth, figure in zip(DEPTHS, figures, strict=True)
        )
        print(f"{name:16} {text}")


if __name__ == "__main__":
    main()

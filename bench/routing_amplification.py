"""Simulate how retries multiply in a chain of services.

Run: `python -m bench.routing_amplification`. Prints how many requests
the failing target runs per call at the top of the chain, by depth of the
chain. The last service always fails; each level has its own proxy with its own
retry budget. No network is involved.
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
    """A chain of services whose retries are bounded by some of three rules."""

    def __init__(self, *, depth, mark, pass_attempts, budget):
        """Set the depth of the chain and the rules that apply.

        `mark`: a failure says that a later hop has used up its retries.
        `pass_attempts`: the attempts left are passed on with the call.
        `budget`: the retries of a level consume tokens of its budget.
        """
        self._depth = depth
        self._mark = mark
        self._pass_attempts = pass_attempts
        self._random = random.Random(1)
        self._budget_is_unlimited = not budget
        self._budgets = [RetryBudget() for _ in range(depth)]
        self.runs = 0

    def call(self, now, *, level=0, context=None):
        """Call a level; return whether its failure is marked."""
        if level == self._depth:
            self.runs += 1
            return False
        if context is None or not self._pass_attempts:
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
                is_final=marked and self._mark,
                budget=self._budget(level),
                now=now,
                random=self._random,
            )
            if not isinstance(outcome, Retry):
                return True
            context = outcome.context
        return True

    def _budget(self, level):
        if self._budget_is_unlimited:
            budget = RetryBudget()
            budget.tokens = 2.0
            return budget
        return self._budgets[level]


def runs_per_call(*, depth, **rules):
    """Return how many requests the failing target runs per call at the top."""
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
        "attempts passed": (False, True, False),
        "mark": (True, False, False),
        "budget": (False, False, True),
        "mark and budget": (True, False, True),
        "all three": (True, True, True),
    }
    for name, (mark, pass_attempts, budget) in rules.items():
        figures = [
            runs_per_call(
                depth=depth,
                mark=mark,
                pass_attempts=pass_attempts,
                budget=budget,
            )
            for depth in DEPTHS
        ]
        text = ", ".join(
            f"depth {depth}: {figure:.2f}"
            for depth, figure in zip(DEPTHS, figures, strict=True)
        )
        print(f"{name:16} {text}")


if __name__ == "__main__":
    main()

"""A seeded model of a service under load while it is rolled out."""

import heapq
import random

import attrs

from verbenanotch.catalog import Version
from verbenanotch.rollouts import OutcomeCount, VersionOutcomes
from verbenanotch.rollouts._commands import Action
from verbenanotch.rollouts._evidence import OutcomeHistory
from verbenanotch.rollouts._rollout import FULL_SHARE_PPM
from verbenanotch.rollouts._steps import (
    Limits,
    Situation,
    decide_step,
)
from verbenanotch.rollouts.control import Phase, Rollout

STEP_SECONDS = 0.05
DECIDE_SECONDS = 0.1
REPORT_SECONDS = 0.25
PROXIES = 75
MAX_CREDIT = 2.0
LIMITS = Limits(max_share=0.1, allowance=50.0)
COLD_SECONDS = 3.0
LATE_FACTOR = 3.0
POSITION = Version(epoch=1, index=1)


@attrs.frozen(kw_only=True)
class Load:
    """A service, its candidate, and what is wrong with it.

    `how` is "" for a good candidate. `failure_rate` is that of sound
    targets. From `burst_at` on, calls come at `burst_factor` times the rate
    for 2 s and take twice their time.
    """

    calls_per_second_by_route: dict[str, float]
    mean_seconds: float = 0.2
    finish_by_seconds: float = 12.0
    how: str = ""
    share: float = 0.5
    slow_factor: float = 8.0
    late_after_seconds: float = 4.0
    failure_rate: float = 0.005
    old_failure_rate: float = 0.005
    burst_at: float = -10.0
    burst_factor: float = 2.5
    candidate_starts_at: float = 1.0
    timeout_seconds: float = 1.5


@attrs.frozen(kw_only=True)
class Result:
    """How a rollout ended.

    `exposed` are the calls that the candidate got until the deadline, of
    `calls` to the service. `bad_answers` are those of the candidate that
    had come when the last proxy stopped sending to it.
    """

    phase: Phase
    reason: str
    ended_at: float
    exposed: int
    calls: int
    bad_answers: int
    steps: int

    @property
    def keeps_limit(self):
        """Return whether a bad version got no more than it may."""
        allowed = LIMITS.max_share * self.calls + LIMITS.allowance
        return self.exposed <= allowed


@attrs.define(kw_only=True)
class Meter:
    """Keeps the share at one proxy, without chance."""

    sent: int = 0
    reached: int = 0
    credit: float = 0.0

    def send(self, share):
        """Count a call; return whether it goes to the candidate."""
        self.credit = min(MAX_CREDIT, self.credit + share)
        self.reached += 1
        allowed = share >= 1 or (
            self.credit >= 1 and self.sent + 1 <= share * self.reached
        )
        if allowed:
            self.sent += 1
            self.credit = max(0.0, self.credit - 1)
        return allowed


class RolloutModel:
    """Plays one rollout; `play` returns its Result."""

    def __init__(self, load, seed):
        """Start at the order."""
        self._load = load
        self._random = random.Random(seed)
        self._history = OutcomeHistory(candidate="v2")
        self._counts_by_proxy = [{} for _ in range(PROXIES)]
        self._shares_ppm = [0] * PROXIES
        self._meters = [Meter() for _ in range(PROXIES)]
        self._ending = []
        self._pending_shares = []
        self._acknowledged_at = None
        self._bad_answers = self._exposed = self._calls = 0
        self._last_step_at = 0.0
        self._ended_at = None
        self._reason = ""
        self._rollout = Rollout(
            service="a",
            candidate="v2",
            finish_by_ms=round(load.finish_by_seconds * 1000),
            operator="model",
            ordered_at_ms=0,
            order=POSITION,
            exposed=POSITION,
        )

    def play(self):
        """Return the Result at the deadline, or after."""
        steps = round((self._load.finish_by_seconds + 0.5) / STEP_SECONDS)
        for number in range(1, steps + 1):
            now = number * STEP_SECONDS
            self._send(now)
            self._end_calls(now)
            self._distribute(now)
            self._report(number, now)
            if number % round(DECIDE_SECONDS / STEP_SECONDS) == 0:
                self._decide(now)
        return Result(
            phase=self._rollout.phase,
            reason=self._reason,
            ended_at=self._ended_at,
            exposed=self._exposed,
            calls=self._calls,
            bad_answers=self._bad_answers,
            steps=self._rollout.step,
        )

    def _is_burst(self, now):
        return 0 <= now - self._load.burst_at < 2.0

    def _send(self, now):
        load = self._load
        factor = load.burst_factor if self._is_burst(now) else 1.0
        for route, rate in load.calls_per_second_by_route.items():
            mean = rate * factor * STEP_SECONDS
            for _ in range(self._poisson(mean)):
                proxy = self._random.randrange(PROXIES)
                share = self._shares_ppm[proxy] / FULL_SHARE_PPM
                is_candidate = self._meters[proxy].send(share)
                if now <= load.finish_by_seconds:
                    self._calls += 1
                    self._exposed += is_candidate
                self._start_call(now, proxy, route, is_candidate)

    def _poisson(self, mean):
        count, total = 0, self._random.expovariate(1.0)
        while total < mean:
            count += 1
            total += self._random.expovariate(1.0)
        return count

    def _start_call(self, now, proxy, route, is_candidate):
        load = self._load
        seconds = self._random.lognormvariate(-0.08, 0.4) * load.mean_seconds
        if self._is_burst(now):
            seconds *= 2
        rate = load.failure_rate if is_candidate else load.old_failure_rate
        failed = self._random.random() < rate
        if is_candidate:
            if now < load.candidate_starts_at + COLD_SECONDS:
                seconds *= self._random.uniform(1.0, 2.0)
            if self._is_spoilt(now, route):
                if load.how == "slow":
                    seconds *= load.slow_factor
                else:
                    failed = True
        if seconds > load.timeout_seconds:
            seconds, failed = load.timeout_seconds, True
        heapq.heappush(
            self._ending,
            (now + seconds, seconds, failed, proxy, route, is_candidate),
        )

    def _is_spoilt(self, now, route):
        load = self._load
        is_due = {
            "": False,
            "errors": True,
            "slow": True,
            "late": now >= load.late_after_seconds,
            "one_class": route == min(load.calls_per_second_by_route),
            "under_load": max(self._shares_ppm) > FULL_SHARE_PPM / 2,
        }[load.how]
        return is_due and self._random.random() < load.share

    def _end_calls(self, now):
        while self._ending and self._ending[0][0] <= now:
            _, seconds, failed, proxy, route, is_candidate = heapq.heappop(
                self._ending
            )
            late = not failed and (
                seconds > LATE_FACTOR * self._load.mean_seconds
            )
            self._bad_answers += is_candidate and (failed or late)
            counts = self._counts_by_proxy[proxy].setdefault(
                (route, "v2" if is_candidate else "v1"), [0, 0, 0, 0]
            )
            counts[0] += 1
            counts[1] += failed
            counts[2] += late
            counts[3] += 0 if failed else round(seconds * 1000)

    def _distribute(self, now):
        waiting = []
        for due, proxy, share_ppm in self._pending_shares:
            if due <= now:
                self._shares_ppm[proxy] = share_ppm
            else:
                waiting.append((due, proxy, share_ppm))
        if not waiting and self._acknowledged_at is None:
            self._acknowledged_at = now
        self._pending_shares = waiting

    def _report(self, number, now):
        period = round(REPORT_SECONDS / STEP_SECONDS)
        for proxy, counts_by_key in enumerate(self._counts_by_proxy):
            if (number + proxy) % period == 0:
                counts = tuple(
                    OutcomeCount(
                        route=route,
                        software_version=version,
                        calls=counts[0],
                        failures=counts[1],
                        late=counts[2],
                        milliseconds=counts[3],
                    )
                    for (route, version), counts in counts_by_key.items()
                )
                message = VersionOutcomes(
                    service="a", proxy_incarnation=1, counts=counts
                )
                self._history.receive(f"p-{proxy}", message, now=now)

    def _decide(self, now):
        if self._rollout.has_ended:
            return
        slots = 200 if now >= self._load.candidate_starts_at else 0
        situation = Situation(
            elapsed_seconds=now,
            since_step_seconds=now - self._last_step_at,
            evidence=self._history.evidence(now=now),
            candidate_slots=slots,
            old_slots=200,
            acknowledged_seconds=(
                None
                if self._acknowledged_at is None
                else now - self._acknowledged_at
            ),
        )
        step = decide_step(self._rollout, situation, LIMITS)
        if hasattr(step, "action"):
            self._make(step, now)

    def _make(self, step, now):
        self._last_step_at = now
        changes = {"step": self._rollout.step + 1}
        match step.action:
            case Action.EXPOSE:
                changes["share_ppm"] = step.share_ppm
            case Action.SHIFT:
                changes["phase"] = Phase.SHIFTING
                changes["share_ppm"] = FULL_SHARE_PPM
            case Action.COMPLETE:
                changes["phase"] = Phase.COMPLETED
            case Action.ROLL_BACK:
                changes["phase"] = Phase.ROLLED_BACK
                changes["share_ppm"] = 0
        self._rollout = attrs.evolve(self._rollout, **changes)
        if self._rollout.has_ended:
            self._ended_at, self._reason = now, step.reason
        if "share_ppm" in changes:
            self._rollout = attrs.evolve(
                self._rollout, exposed_at_ms=round(now * 1000)
            )
            self._acknowledged_at = None
            for proxy in range(PROXIES):
                due = now + self._random.uniform(0.05, 0.25)
                self._pending_shares.append((due, proxy, changes["share_ppm"]))

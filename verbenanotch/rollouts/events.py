"""Events 7500 to 7599: rollouts of software versions."""

from verbenanotch.telemetry import Level, event

ROLLOUT_ORDERED = event(
    7501,
    "rollout-ordered",
    Level.INFO,
    "an operator ordered a rollout; the new version gets no requests yet",
)
ROLLOUT_EXPOSED = event(
    7502,
    "rollout-exposed",
    Level.INFO,
    "the share of a service's requests that the new version gets was set",
)
ROLLOUT_SHIFTED = event(
    7503,
    "rollout-shifted",
    Level.INFO,
    "the new version is trusted and gets all requests of the service",
)
ROLLOUT_COMPLETED = event(
    7504,
    "rollout-completed",
    Level.INFO,
    "the old targets get no more requests and may be stopped",
)
ROLLOUT_ROLLED_BACK = event(
    7505,
    "rollout-rolled-back",
    Level.WARNING,
    "the new version gets no requests again; `reason` says why",
    "Correct the software, and order a rollout of another version.",
)
ROLLOUT_SETTLED = event(
    7506,
    "rollout-settled",
    Level.INFO,
    "after a completed rollout, targets of other versions may be used again",
)
ROLLOUT_STEP_FAILED = event(
    7507,
    "rollout-step-failed",
    Level.WARNING,
    "a step of a rollout was not committed; it is decided again",
    "Check the quorum if it persists.",
)
ROLLOUT_WAITS = event(
    7508,
    "rollout-waits",
    Level.INFO,
    "a rollout can't go on yet; `reason` says why",
)
ROLLOUT_FAILED = event(
    7509,
    "rollout-failed",
    Level.ERROR,
    "deciding the steps of rollouts failed; it will be tried again",
    "Report the traceback to the project.",
)
EVENTS_BY_ACTION = {
    "expose": ROLLOUT_EXPOSED,
    "shift": ROLLOUT_SHIFTED,
    "complete": ROLLOUT_COMPLETED,
    "roll-back": ROLLOUT_ROLLED_BACK,
    "settle": ROLLOUT_SETTLED,
}

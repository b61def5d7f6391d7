"""One rollout, as the log has it."""

import enum

import attrs

from verbenanotch.catalog import Exposure, Version

FULL_SHARE_PPM = 1_000_000
MILLISECONDS_PER_SECOND = 1000


class Phase(enum.StrEnum):
    """How far a rollout is."""

    RUNNING = "running"
    SHIFTING = "shifting"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen(kw_only=True)
class Rollout:
    """The order of a rollout, and what the steps so far made of it.

    `order` is the position of the order in the log, `exposed` that of the
    last step that changed the exposure, `exposed_at_ms` the time of that step
    since the order, `step` the number of steps so far.
    `finish_by_ms` is the time from the order to the deadline, `elapsed_ms`
    that from the order to the last step. `ordered_at_ms` is in milliseconds
    since 1970, for display alone. `reason` says why the last step was made,
    `evidence` the numbers that decided it. After `settled`, a completed
    rollout no longer restricts which targets are used.
    """

    service: str
    candidate: str
    finish_by_ms: int
    operator: str
    ordered_at_ms: int
    order: Version
    exposed: Version
    phase: Phase = Phase.RUNNING
    share_ppm: int = 0
    step: int = 0
    elapsed_ms: int = 0
    exposed_at_ms: int = 0
    reason: str = ""
    evidence: str = ""
    settled: bool = False

    @property
    def has_ended(self):
        """Return whether the rollout is completed or rolled back."""
        return self.phase in (Phase.COMPLETED, Phase.ROLLED_BACK)

    @property
    def finish_by_seconds(self):
        """Return the time from the order to the deadline."""
        return self.finish_by_ms / MILLISECONDS_PER_SECOND

    def exposure(self, rejected):
        """Return the Exposure of the service, or None.

        `rejected` are the service's versions that were rolled back.
        """
        if self.settled:
            if not rejected:
                return None
            return Exposure(candidate=rejected[-1], rejected=rejected)
        return Exposure(
            candidate=self.candidate,
            share_ppm=self.share_ppm,
            rejected=rejected,
        )


def rollout_to_plain(rollout):
    """Return the values of a rollout for msgpack, by field name."""
    return attrs.asdict(
        rollout, value_serializer=lambda _, __, value: _to_plain(value)
    )


def rollout_from_plain(values):
    """Return the Rollout of `rollout_to_plain`.

    Fields of later releases are ignored.
    """
    names = {field.name for field in attrs.fields(Rollout)}
    known = {name: value for name, value in values.items() if name in names}
    return Rollout(
        **{
            **known,
            "order": Version.parse(known["order"]),
            "exposed": Version.parse(known["exposed"]),
            "phase": Phase(known["phase"]),
        }
    )


def _to_plain(value):
    return str(value) if isinstance(value, Version | Phase) else value

"""Commands of rollouts for the log, and the outcomes of orders.

The first element of a command is a number; that of a submission is a text.
"""

import dataclasses
import enum

import attrs
import msgpack

from verbenanotch.catalog import Version
from verbenanotch.rollouts._rollout import (
    Rollout,
    rollout_from_plain,
    rollout_to_plain,
)

COMMAND_FORMAT = 750
MAX_COMMAND_BYTES = 64 * 1024
# Enough for the number that comes first.
FIRST_BYTES = 32
DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    msgpack.UnpackException,
)


class Action(enum.StrEnum):
    """What a step changes."""

    TICK = "tick"
    EXPOSE = "expose"
    SHIFT = "shift"
    COMPLETE = "complete"
    ROLL_BACK = "roll-back"
    SETTLE = "settle"


@attrs.frozen(kw_only=True)
class Order:
    """An operator's order of a rollout."""

    service: str
    candidate: str
    finish_by_ms: int
    operator: str
    ordered_at_ms: int = 0


@attrs.frozen(kw_only=True)
class Step:
    """A step of the rollout that was ordered at `order`.

    It is made only if `number` steps were made before. `share_ppm` is the
    new share of EXPOSE.
    """

    service: str
    order: Version
    number: int
    action: Action
    elapsed_ms: int
    share_ppm: int = 0
    reason: str = ""
    evidence: str = ""


@attrs.frozen(kw_only=True)
class Abort:
    """An operator's order to roll the running rollout back."""

    service: str
    candidate: str
    operator: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ordered:
    """The order is durable.

    `is_new` is false if the order was given before; `rollout` is what has
    become of it.
    """

    rollout: Rollout
    is_new: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The order can't be followed; nothing was changed."""

    reason: str
    remedy: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outdated:
    """The step was decided on an older state; nothing was changed."""


NAMES_BY_CLASS = {Order: "order", Step: "step", Abort: "abort"}
CLASSES_BY_NAME = {name: item for item, name in NAMES_BY_CLASS.items()}


def is_rollout_command(command):
    """Return whether a command of the log is about rollouts."""
    try:
        unpacker = msgpack.Unpacker()
        unpacker.feed(command[:FIRST_BYTES])
        return unpacker.read_array_header() > 0 and (
            type(unpacker.unpack()) is int
        )
    except (ValueError, msgpack.UnpackException):
        return False


def encode_command(command):
    """Return the bytes of an Order, Step or Abort for the log."""
    values = attrs.asdict(
        command,
        value_serializer=lambda _, __, value: (
            str(value) if isinstance(value, Version | Action) else value
        ),
    )
    return msgpack.packb(
        [COMMAND_FORMAT, NAMES_BY_CLASS[type(command)], values]
    )


def decode_command(data):
    """Return the Order, Step or Abort; raises one of DECODE_ERRORS."""
    match msgpack.unpackb(data):
        case [int(number), str(name), dict(values)] if (
            number == COMMAND_FORMAT
        ):
            command_class = CLASSES_BY_NAME[name]
        case _:
            raise ValueError("the command is not about rollouts")
    if command_class is Step:
        values["order"] = Version.parse(values["order"])
        values["action"] = Action(values["action"])
    return command_class(**values)


def encode_outcome(outcome):
    """Return the bytes of Ordered, Refused or Outdated."""
    match outcome:
        case Ordered(rollout=rollout, is_new=is_new):
            values = ["ordered", rollout_to_plain(rollout), is_new]
        case Refused(reason=reason, remedy=remedy):
            values = ["refused", reason, remedy]
        case Outdated():
            values = ["outdated"]
    return msgpack.packb(values)


def decode_outcome(data):
    """Return the outcome that `encode_outcome` encoded."""
    match msgpack.unpackb(data):
        case ["ordered", rollout, is_new]:
            return Ordered(rollout=rollout_from_plain(rollout), is_new=is_new)
        case ["refused", reason, remedy]:
            return Refused(reason=reason, remedy=remedy)
        case ["outdated"]:
            return Outdated()
    raise ValueError("unknown outcome; run the same release on every host")

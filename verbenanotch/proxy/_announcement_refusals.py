"""Why an announcement of a target is refused."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnknownService:
    """The mesh does not have the announced service."""

    service: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outdated:
    """A later state of the target, or of its address, is known.

    `incarnation` is the announced one.
    """

    target_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class InvalidTarget:
    """An announced value can't be that of a target."""

    problem: str
    remedy: str

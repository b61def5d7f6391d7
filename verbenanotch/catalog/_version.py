"""Totally ordered versions of the mesh configuration."""

import re

import attrs

# Of numbers that fit into 64 bits.
TEXT_PATTERN = re.compile(r"([0-9]{1,18})\.([0-9]{1,18})")


@attrs.frozen(kw_only=True, order=True)
class Version:
    """Identity of one accepted configuration; never reused.

    `epoch` is the term of the leader that accepted it, `index` its position
    in the replicated log. Later versions compare greater.
    """

    epoch: int
    index: int

    def __str__(self):
        """Return the form that operators see, such as `3.41`."""
        return f"{self.epoch}.{self.index}"

    @classmethod
    def parse(cls, text):
        """Return the version of a text such as `3.41`; raise ValueError."""
        match = TEXT_PATTERN.fullmatch(text)
        if match is None:
            raise ValueError(f"{text!r} is not a version such as 3.41")
        return cls(epoch=int(match[1]), index=int(match[2]))


NO_VERSION = Version(epoch=0, index=0)

"""Totally ordered versions of the configuration."""

import attrs


@attrs.frozen(order=True)
class Version:
    """Identity of one accepted configuration; never used twice.

    `epoch` is the term of the leader that accepted it, `index` its place in
    the replicated log. Later versions compare greater.
    """

    epoch: int
    index: int

    def __str__(self):
        """Return the form that operators see, such as `3.41`."""
        return f"{self.epoch}.{self.index}"

    @classmethod
    def parse(cls, text):
        """Return the version of its text form; raise ValueError if none."""
        epoch, _, index = text.partition(".")
        return cls(int(epoch), int(index))


NO_VERSION = Version(0, 0)

"""Totally ordered versions of the mesh configuration."""

import attrs


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
        epoch, _, index = text.partition(".")
        return cls(epoch=int(epoch), index=int(index))


NO_VERSION = Version(epoch=0, index=0)

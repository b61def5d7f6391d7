"""Entries of the log and the configurations of voters among them."""

import enum

import attrs
import msgpack


class EntryKind(enum.IntEnum):
    """What an entry is for; it travels and is stored as its number."""

    EMPTY = 0
    COMMAND = 1
    CONFIGURATION = 2


@attrs.frozen(kw_only=True)
class Position:
    """The place of an entry in the log; never used twice."""

    term: int
    index: int


@attrs.frozen(kw_only=True)
class Entry:
    """One entry; `index` counts from 1, `term` is its leader's."""

    term: int
    index: int
    kind: int
    data: bytes = b""


@attrs.frozen(kw_only=True)
class Member:
    """A replica on one disk, and where its peers reach it.

    A host whose disk was lost comes back with another `disk_id` and so as
    another member, which has neither votes nor acknowledgements.
    """

    name: str
    disk_id: str
    address: str
    peer_port: int

    @property
    def id(self):
        """Return the identity by which votes are counted."""
        return f"{self.name}#{self.disk_id}"


def name_of(member_id):
    """Return the host name within a member's identity."""
    return member_id.partition("#")[0]


@attrs.frozen(kw_only=True)
class Configuration:
    """The voters; `returning` names hosts whose new disk may vote again."""

    voters: tuple[Member, ...] = ()
    returning: tuple[str, ...] = ()

    @property
    def voters_by_id(self):
        """Return the voters keyed by identity."""
        return {voter.id: voter for voter in self.voters}

    @property
    def voters_by_name(self):
        """Return the voters keyed by host name."""
        return {voter.name: voter for voter in self.voters}

    @property
    def quorum(self):
        """Return the number of voters that makes a majority."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, member_ids):
        """Tell whether the members include a majority of the voters."""
        count = sum(voter.id in member_ids for voter in self.voters)
        return bool(self.voters) and count >= self.quorum

    def adding(self, member):
        """Return the configuration with one more voter."""
        returning = tuple(
            name for name in self.returning if name != member.name
        )
        return Configuration(
            voters=(*self.voters, member), returning=returning
        )

    def removing(self, member_id, *, returning=False):
        """Return the configuration without a voter."""
        voters = tuple(voter for voter in self.voters if voter.id != member_id)
        names = self.returning
        if returning:
            names = (*names, name_of(member_id))
        return Configuration(voters=voters, returning=names)


def encode_configuration(configuration):
    """Return the bytes that an entry carries."""
    return msgpack.packb(configuration_to_plain(configuration))


def decode_configuration(data):
    """Return the configuration of an entry's bytes."""
    return configuration_from_plain(msgpack.unpackb(data))


def configuration_to_plain(configuration):
    """Return plain values for msgpack."""
    voters = [
        [voter.name, voter.disk_id, voter.address, voter.peer_port]
        for voter in configuration.voters
    ]
    return [voters, list(configuration.returning)]


def configuration_from_plain(values):
    """Return the configuration of `configuration_to_plain`'s values."""
    voters, returning = values
    return Configuration(
        voters=tuple(
            Member(name=name, disk_id=disk, address=address, peer_port=port)
            for name, disk, address, port in voters
        ),
        returning=tuple(returning),
    )

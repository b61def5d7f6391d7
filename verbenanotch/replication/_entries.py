"""Log entries, members, and the configurations of voters."""

import enum

import attrs
import msgpack


class EntryKind(enum.IntEnum):
    """The purpose of an entry, sent and stored as its number."""

    EMPTY = 0
    COMMAND = 1
    CONFIGURATION = 2


@attrs.frozen(kw_only=True)
class Position:
    """The position of an entry in the log, unique to that entry."""

    term: int
    index: int


@attrs.frozen(kw_only=True)
class Entry:
    """A log entry of the leader of `term`; `index` counts from 1."""

    term: int
    index: int
    kind: int
    data: bytes = b""


@attrs.frozen(kw_only=True)
class Member:
    """A replica on one disk, and the address at which peers dial it.

    A host whose disk was lost returns with another `disk_id` and so as
    another member, without the votes and acknowledgements of the old one.
    """

    name: str
    disk_id: str
    address: str
    peer_port: int

    @property
    def id(self):
        """Return the identity that votes and acknowledgements count for."""
        return f"{self.name}#{self.disk_id}"


def name_of(member_id):
    """Return the host name in a member's identity."""
    return member_id.partition("#")[0]


@attrs.frozen(kw_only=True)
class Configuration:
    """The voters of the cluster.

    `returning` names the hosts whose lost disk was removed from the voters
    and whose new disk gets a vote once it has caught up.
    """

    voters: tuple[Member, ...] = ()
    returning: tuple[str, ...] = ()

    @property
    def voters_by_id(self):
        """Return the voters by `Member.id`."""
        return {voter.id: voter for voter in self.voters}

    @property
    def voters_by_name(self):
        """Return the voters by host name."""
        return {voter.name: voter for voter in self.voters}

    @property
    def quorum(self):
        """Return the number of voters in a majority."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, member_ids):
        """Return whether the members include a majority of the voters."""
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
        """Return the configuration with one voter less.

        With `returning`, the host's new disk may become a voter later.
        """
        voters = tuple(voter for voter in self.voters if voter.id != member_id)
        names = self.returning
        if returning:
            names = (*names, name_of(member_id))
        return Configuration(voters=voters, returning=names)


def encode_configuration(configuration):
    """Return the data of a CONFIGURATION entry."""
    return msgpack.packb(configuration_to_plain(configuration))


def decode_configuration(data):
    """Return the configuration in the data of a CONFIGURATION entry."""
    return configuration_from_plain(msgpack.unpackb(data))


def configuration_to_plain(configuration):
    """Return the configuration as lists for msgpack."""
    voters = [
        [voter.name, voter.disk_id, voter.address, voter.peer_port]
        for voter in configuration.voters
    ]
    return [voters, list(configuration.returning)]


def configuration_from_plain(values):
    """Return the configuration that `configuration_to_plain` encoded."""
    voters, returning = values
    return Configuration(
        voters=tuple(
            Member(name=name, disk_id=disk, address=address, peer_port=port)
            for name, disk, address, port in voters
        ),
        returning=tuple(returning),
    )

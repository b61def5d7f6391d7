"""Messages between a control host and the proxies of its zone."""

import attrs

from verbenanotch.catalog import Version
from verbenanotch.wire import message


@message(300)
@attrs.frozen(kw_only=True)
class Subscribe:
    """A proxy subscribes to the versions and targets that it needs.

    `entry_services` are those that callers reach through it; empty means
    all. `current_version` is its active version, `current_digest` the digest
    of its subset, and `digests_by_service` has the digests of its targets. A
    `starting` proxy has no version and needs its minimum version;
    otherwise `minimum_version` is the one that it has determined.
    """

    entry_services: tuple[str, ...]
    current_version: Version
    current_digest: int
    digests_by_service: dict[str, int]
    starting: bool
    minimum_version: Version


@attrs.frozen(kw_only=True)
class MeshUpdate:
    """The change from the subset of version `base` to that of `version`.

    A `full` update replaces all services, routes and client accounts. These
    are encoded, by name; the accounts are AccountRecords, without keys.
    `base_digest` and `digest` are those of the subset before and after.
    """

    version: Version
    full: bool
    base: Version
    base_digest: int
    digest: int
    services: dict[str, bytes]
    removed_services: tuple[str, ...]
    routes: dict[str, bytes]
    removed_routes: tuple[str, ...]
    accounts: dict[str, bytes]
    removed_accounts: tuple[str, ...]


@attrs.frozen(kw_only=True)
class TargetsUpdate:
    """A change of the hosts with targets of one service.

    With ALL_HOSTS as `service` it has the hosts of the own zone. `changed` has
    encoded HostRecords by host. `base_digest` and `digest` are those of the
    entries before and after; a `full` update replaces all entries.
    """

    service: str
    full: bool
    base_digest: int
    digest: int
    changed: dict[str, bytes]
    removed: tuple[str, ...]


@message(301)
@attrs.frozen(kw_only=True)
class Update:
    """Changes that become active together; `mesh` has at most one element."""

    mesh: tuple[MeshUpdate, ...]
    targets: tuple[TargetsUpdate, ...]


@message(302)
@attrs.frozen(kw_only=True)
class Unsubscribe:
    """The proxy ends its subscription at this control host."""


@message(303)
@attrs.frozen(kw_only=True)
class Acknowledge:
    """The version is active at the proxy."""

    version: Version


@message(304)
@attrs.frozen(kw_only=True)
class DrainTarget:
    """A target must receive no new requests."""

    target_id: str


@message(305)
@attrs.frozen(kw_only=True)
class Resync:
    """Request content in full, as an update of it did not match.

    `mesh` is whether the mesh is requested, `services` names the services
    whose targets are.
    """

    mesh: bool
    services: tuple[str, ...]


@message(306)
@attrs.frozen(kw_only=True)
class Busy:
    """The subscription was not started, as too many start concurrently."""

    retry_after_ms: int


@message(307)
@attrs.frozen(kw_only=True)
class MinimumVersionConfirmed:
    """A quorum has confirmed that the proxy never had a later version."""

    version: Version


@message(308)
@attrs.frozen(kw_only=True)
class MinimumVersionUnknown:
    """No quorum is available; the proxy must determine its minimum version.

    `peers_by_host` has the proxies of the zone, as `address:port`.
    """

    peers_by_host: dict[str, str]


@attrs.frozen(kw_only=True)
class KnownControlHost:
    """A control host and its peer address."""

    name: str
    address: str
    peer_port: int


@message(311)
@attrs.frozen(kw_only=True)
class ControlHosts:
    """All control hosts that the sender currently knows."""

    hosts: tuple[KnownControlHost, ...]


@message(312)
@attrs.frozen(kw_only=True)
class ControlHostZone:
    """The availability zone of the control host; sent once a connection."""

    availability_zone: str


@message(313)
@attrs.frozen(kw_only=True)
class FromLeader:
    """A message of the leader of the log to a proxy.

    `term` is the leader's term, `payload` the encoded message of a feature.
    """

    term: int
    payload: bytes


@message(314)
@attrs.frozen(kw_only=True)
class ToLeader:
    """A proxy's message to the leader; `payload` is as in FromLeader."""

    payload: bytes


@message(309)
@attrs.frozen(kw_only=True)
class MinimumVersionRequest:
    """Request the current version of a control host or another proxy."""


@message(310)
@attrs.frozen(kw_only=True)
class MinimumVersionReply:
    """The current version; NO_VERSION if none.

    `is_authoritative` is False for a control host whose disk was empty at its
    start, until a quorum has confirmed its state once: its former disk may
    have had a later version.
    """

    version: Version
    is_authoritative: bool

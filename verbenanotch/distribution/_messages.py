"""Messages between a control host and the proxies of its zone."""

import attrs

from verbenanotch.catalog import Version
from verbenanotch.wire import message


@message(300)
@attrs.frozen(kw_only=True)
class Subscribe:
    """A proxy asks for the versions and targets that it needs.

    `entry_services` are those that callers reach through it; empty means
    all. `current_version` and `current_digest` name the version that it holds
    and the content of its subset, `digests_by_service` its targets. A
    `starting` proxy holds nothing and needs a minimum version;
    `minimum_version` is one that it has determined.
    """

    entry_services: tuple[str, ...]
    current_version: Version
    current_digest: int
    digests_by_service: dict[str, int]
    starting: bool
    minimum_version: Version


@attrs.frozen(kw_only=True)
class MeshUpdate:
    """What turns the subset of version `base` into that of `version`.

    A `full` update has no base. Entries are encoded services and routes.
    `base_digest` and `digest` name the content before and after.
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


@attrs.frozen(kw_only=True)
class TargetsUpdate:
    """A change of the hosts with targets of one service.

    `service` ALL_HOSTS stands for the hosts of the own zone. Entries are
    encoded host records by host.
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
    """Changes that come into force together; `mesh` has one at most."""

    mesh: tuple[MeshUpdate, ...]
    targets: tuple[TargetsUpdate, ...]


@message(302)
@attrs.frozen(kw_only=True)
class Unsubscribe:
    """The proxy takes its updates from another control host."""


@message(303)
@attrs.frozen(kw_only=True)
class Acknowledge:
    """The version is in force at the proxy."""

    version: Version


@message(304)
@attrs.frozen(kw_only=True)
class DrainTarget:
    """A target is to get no new work from now on."""

    target_id: str


@message(305)
@attrs.frozen(kw_only=True)
class Resync:
    """Parts of an update did not fit; they are needed whole."""

    mesh: bool
    services: tuple[str, ...]


@message(306)
@attrs.frozen(kw_only=True)
class Busy:
    """Too many subscriptions start at once; none was started."""

    retry_after_ms: int


@message(307)
@attrs.frozen(kw_only=True)
class MinimumVersionConfirmed:
    """A quorum has confirmed that no later version than this was held."""

    version: Version


@message(308)
@attrs.frozen(kw_only=True)
class MinimumVersionUnknown:
    """No quorum can be reached; the proxy must determine its minimum version.

    `peers_by_host` are proxies of the zone, as `address:port`.
    """

    peers_by_host: dict[str, str]


@attrs.frozen(kw_only=True)
class KnownControlHost:
    """A control host and where its peers reach it."""

    name: str
    address: str
    peer_port: int


@message(311)
@attrs.frozen(kw_only=True)
class ControlHosts:
    """All control hosts that the sender knows at present."""

    hosts: tuple[KnownControlHost, ...]


@message(309)
@attrs.frozen(kw_only=True)
class MinimumVersionRequest:
    """Ask a control host or another proxy for the version it holds."""


@message(310)
@attrs.frozen(kw_only=True)
class MinimumVersionReply:
    """The version held; NO_VERSION if none.

    A control host whose disk was empty at its start is not `sure` until a
    quorum has confirmed its state once: its former disk may have held more.
    """

    version: Version
    sure: bool

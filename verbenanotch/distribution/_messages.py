"""Messages between a control host and the proxies of its zone."""

import attrs

from verbenanotch.catalog import Route, Service, Version
from verbenanotch.membership import HostRecord
from verbenanotch.wire import message


@message(300)
@attrs.frozen(kw_only=True)
class Subscribe:
    """A proxy asks for versions and targets.

    `services` are those it routes to; empty means all. `held` is the
    version that it holds.
    """

    services: tuple[str, ...]
    held: Version


@message(301)
@attrs.frozen(kw_only=True)
class MeshUpdate:
    """One whole version, as far as the proxy subscribed."""

    version: Version
    services: dict[str, Service]
    routes: dict[str, Route]


@message(302)
@attrs.frozen(kw_only=True)
class TargetsUpdate:
    """All hosts with targets of the subscribed services."""

    records: tuple[HostRecord, ...]


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

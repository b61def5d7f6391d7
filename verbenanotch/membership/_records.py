"""Records of a host and of its targets."""

import attrs


@attrs.frozen(kw_only=True)
class TargetRecord:
    """One target, as announced by its proxy.

    `target_id` is `service/address:port` unless the target announces its own
    id. `slots` is the number of requests that it runs at once. `incarnation`
    increases with each restart of the target. `software_version` is what the
    target says of the software that it runs, empty if it says nothing.
    """

    target_id: str
    service: str
    address: str
    port: int
    slots: int
    incarnation: int
    draining: bool = False
    software_version: str = ""


@attrs.frozen(kw_only=True)
class HostRecord:
    """One proxy and its targets.

    `incarnation` increases with each restart of the proxy, `sequence` with
    each change of its targets; together they order the records of a host.
    Other proxies connect to `address` and `peer_port`. An empty
    `control_zone` means the availability zone.
    """

    host: str
    availability_zone: str
    address: str
    peer_port: int
    incarnation: int
    sequence: int
    targets: tuple[TargetRecord, ...] = ()
    control_zone: str = ""

    @property
    def effective_control_zone(self):
        """Return the zone whose control hosts hold the host's lease."""
        return self.control_zone or self.availability_zone

    @property
    def order(self):
        """Return a key that is greater for a later record of the same host."""
        return (self.incarnation, self.sequence)

"""What is known of one host and of its targets."""

import attrs


@attrs.frozen(kw_only=True)
class TargetRecord:
    """One target as its proxy announces it.

    `target_id` is `service/address:port` unless the target has a name of
    its own. `incarnation` grows each time the target starts again.
    """

    target_id: str
    service: str
    address: str
    port: int
    slots: int
    incarnation: int
    draining: bool = False


@attrs.frozen(kw_only=True)
class HostRecord:
    """One proxy and its targets.

    `incarnation` grows each time the proxy starts again, `sequence` with
    each change of its targets; together they order the records of a host.
    `address` and `peer_port` are where other proxies reach it. An empty
    `control_zone` stands for the availability zone.
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
        """Key by which a later record of the same host is greater."""
        return (self.incarnation, self.sequence)

"""Plan the hosts of a small mesh on loopback and make their settings.

Each host has its own address, 127.OCTET.ZONE.HOST, so that all hosts use the
same port numbers.
"""

import attrs

PEER_PORT = 7100
OPERATOR_PORT = 7200
CALLER_PORT = 7300
# Targets announce themselves to their proxy at TARGET_PORT and serve requests
# at TARGET_SERVICE_PORT.
TARGET_PORT = 7400
TARGET_SERVICE_PORT = 7500
# Last octet of the address of a zone's first proxy.
FIRST_PROXY_HOST = 51
MAX_VOTERS = 5


@attrs.frozen(kw_only=True)
class PlannedHost:
    """One host of the mesh."""

    name: str
    role: str
    availability_zone: str
    address: str

    @property
    def peer(self):
        """Return the address and port that peers dial, as settings."""
        return {"address": self.address, "peer_port": PEER_PORT}

    def server(self, port):
        """Return `address:port`."""
        return f"{self.address}:{port}"


@attrs.frozen(kw_only=True)
class Secrets:
    """Secrets that the hosts and operators of one mesh share."""

    peer_key: str
    operator_token: str


@attrs.frozen(kw_only=True)
class Topology:
    """All planned hosts, keyed by name in the order of the zones."""

    hosts_by_name: dict[str, PlannedHost]

    @property
    def control_hosts(self):
        """Return the control hosts, zone by zone."""
        return [h for h in self.hosts_by_name.values() if h.role == "control"]

    @property
    def proxies(self):
        """Return the proxies, zone by zone."""
        return [h for h in self.hosts_by_name.values() if h.role == "proxy"]

    @property
    def servers(self):
        """Return `address:port` of every operators' interface."""
        return [host.server(OPERATOR_PORT) for host in self.control_hosts]

    @property
    def voters(self):
        """Return the first voters: an odd number, spread over the zones."""
        ranked = sorted(
            self.control_hosts,
            key=lambda host: (host.address.rsplit(".", 1)[1], host.address),
        )
        count = min(MAX_VOTERS, len(ranked))
        return ranked[: count - 1 + count % 2]


def plan(*, zones, control_hosts_per_zone, proxies_per_zone, second_octet):
    """Return a Topology of hosts named `ZONE-control-N`, `ZONE-proxy-N`.

    `proxies_per_zone` is a number, or a list of one number for each zone.
    """
    if isinstance(proxies_per_zone, int):
        proxies_per_zone = [proxies_per_zone] * len(zones)
    hosts_by_name = {}
    for zone_number, zone in enumerate(zones, start=1):
        network = f"127.{second_octet}.{zone_number}"
        counts = (
            ("control", control_hosts_per_zone, 1),
            ("proxy", proxies_per_zone[zone_number - 1], FIRST_PROXY_HOST),
        )
        for role, count, first in counts:
            for number in range(count):
                name = f"{zone}-{role}-{number + 1}"
                hosts_by_name[name] = PlannedHost(
                    name=name,
                    role=role,
                    availability_zone=zone,
                    address=f"{network}.{first + number}",
                )
    return Topology(hosts_by_name=hosts_by_name)


def make_settings(
    host,
    topology,
    *,
    secrets,
    folder,
    peers_by_link=None,
    advertised_by_name=None,
):
    """Return the settings of one host as plain values for TOML.

    `folder` is the directory of its data and its event file. `peers_by_link`
    maps (from host, to host) to the address and port of a relay between the
    two. `advertised_by_name` maps a proxy's name to the address and port of a
    relay in front of its peer port.
    """
    settings = {
        "host": {
            "name": host.name,
            "role": host.role,
            "availability_zone": host.availability_zone,
            "peer_key": secrets.peer_key,
            **host.peer,
            **(advertised_by_name or {}).get(host.name, {}),
        },
        "telemetry": {"event_file": f"{folder}/{host.name}.events.jsonl"},
    }
    relays = peers_by_link or {}
    if host.role == "control":
        settings["control"] = _control_section(
            host, topology, secrets, folder, relays
        )
    else:
        settings["proxy"] = _proxy_section(host, topology, relays)
    return settings


def _control_section(host, topology, secrets, folder, relays):
    return {
        "data_folder": f"{folder}/{host.name}.data",
        "operator_port": OPERATOR_PORT,
        "operator_token": secrets.operator_token,
        "voters_by_name": _peers(host, topology.voters, relays),
        "control_hosts_by_name": _peers(host, topology.control_hosts, relays),
    }


def _proxy_section(host, topology, relays):
    own_zone = [
        control
        for control in topology.control_hosts
        if control.availability_zone == host.availability_zone
    ]
    return {
        "caller_port": CALLER_PORT,
        "target_port": TARGET_PORT,
        "control_hosts_by_name": _peers(host, own_zone, relays),
    }


def _peers(host, peers, relays):
    return {
        peer.name: {
            **relays.get((host.name, peer.name), peer.peer),
            "availability_zone": peer.availability_zone,
        }
        for peer in peers
    }

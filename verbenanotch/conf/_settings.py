"""Every setting of the daemon, with its default."""

import pathlib

import attrs

from verbenanotch.conf._checks import find_problems
from verbenanotch.documents import Document, Invalid, Valid, parse


@attrs.frozen(kw_only=True)
class HostSettings:
    """Who this process is and where peers reach it.

    A proxy announces `advertised_address` and `advertised_peer_port` to
    the proxies that call it, for hosts behind a translation of addresses;
    an empty or zero value stands for `address` or `peer_port`. Hosts of
    several small availability zones that share their control hosts name
    the same `control_zone`; an empty one is the availability zone.
    """

    name: str
    role: str
    availability_zone: str
    address: str
    peer_port: int
    advertised_address: str = ""
    advertised_peer_port: int = 0
    region: str = "local"
    control_zone: str = ""
    peer_key: str = attrs.field(repr=False)

    @property
    def effective_control_zone(self):
        """Return the zone whose control hosts hold this host's lease."""
        return self.control_zone or self.availability_zone

    @property
    def announced_address(self):
        """Return the address that other proxies dial."""
        return self.advertised_address or self.address

    @property
    def announced_peer_port(self):
        """Return the port that other proxies dial."""
        return self.advertised_peer_port or self.peer_port


@attrs.frozen(kw_only=True)
class Voter:
    """A control host that votes at the first start of the system.

    `availability_zone` lets control hosts exchange tables with one control
    host of each other zone; where it is empty, they do so with every one.
    """

    address: str
    peer_port: int
    availability_zone: str = ""


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Settings of a control host.

    `voters_by_name` are the first voters of the replicated log.
    `control_hosts_by_name` are all control hosts, voters included.
    `operator_listen` is `IP:PORT` and takes the place of `operator_port` at
    the host's address.
    Changes within `coalesce_ms` of the last update go out together.
    `admission_limit` bounds the subscriptions that start at a time.
    `whole_state_updates` sends whole states in place of deltas. A host that
    `may_create_cluster` is one of the first start; a later one only joins.
    With `tolerated_losses` above 0 the leader keeps twice that number plus
    one voters by itself: it replaces voters that are lost for
    `voter_patience_ms` by control hosts that have caught up.
    """

    data_folder: str
    operator_port: int = 0
    operator_token: str = attrs.field(repr=False, default="")
    operator_listen: str = ""
    voters_by_name: dict[str, Voter] = attrs.field(factory=dict)
    control_hosts_by_name: dict[str, Voter] = attrs.field(factory=dict)
    election_timeout_ms: int = 1000
    heartbeat_ms: int = 200
    lease_ms: int = 3000
    snapshot_every_entries: int = 1000
    coalesce_ms: int = 50
    admission_limit: int = 32
    whole_state_updates: bool = False
    may_create_cluster: bool = True
    tolerated_losses: int = 0
    voter_patience_ms: int = 1500


def endpoint(listen, *, address, port):
    """Return address and port of a setting `IP:PORT`, or else the given."""
    if not listen:
        return address, port
    host, _, number = listen.rpartition(":")
    return host, int(number)


@attrs.frozen(kw_only=True)
class DiscoverySettings:
    """Where control hosts are found that no other setting names.

    `seeds` are IP numbers of some control hosts, each alone or with a port,
    which is ignored: all listen for peers on `peer_port`. Discovered
    control hosts are named by their address.
    """

    seeds: tuple[str, ...] = ()
    peer_port: int = 0

    @property
    def control_hosts_by_name(self):
        """Return the seeds as peers, keyed by name."""
        addresses = [seed.partition(":")[0] for seed in self.seeds]
        return {
            address: Voter(address=address, peer_port=self.peer_port)
            for address in addresses
        }


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Names of the headers that callers, proxies and targets exchange.

    An empty name leaves the header out. `timeout` is the caller's deadline
    in milliseconds from now. `target` tells a target which one is meant,
    and is checked by targets that know it. `caller` names the service
    beside the proxy that took the request. An answer of a target with
    `not_run` says that the request was not run. A target's answer to a
    question for its health has its id in `target_id` and its load, as
    `running,waiting,slots`, in `target_load`.
    """

    request_id: str = "X-Request-Id"
    timeout: str = "X-Request-Timeout-Ms"
    outcome: str = "X-Verbenanotch-Outcome"
    depth: str = "X-Verbenanotch-Depth"
    retries: str = "X-Verbenanotch-Retries"
    target: str = ""
    caller: str = ""
    not_run: str = ""
    target_id: str = ""
    target_load: str = ""


@attrs.frozen(kw_only=True)
class ProxySettings:
    """Settings of a proxy.

    `control_hosts_by_name` are the control hosts of the proxy's
    availability zone. `entry_services` are the services that callers reach
    through this proxy; empty means all services. Without
    `adaptive_limits` a target's limit stays at the slots that it announces.
    `caller_listen` and `target_listen` are `IP:PORT` and take the place of
    `caller_port` and `target_port` at the host's address; `ready_listen`
    answers whether callers are served, an empty one turns that off.
    `local_service` is the service of the host's targets as long as none has
    announced itself; after a start, the target at `local_target`
    (`IP:PORT`) is asked for its health and id. A target is taken for gone
    `announcement_lease_ms` after its last announcement. With
    `targets_echo_request_id`, an answer with another request id is not an
    answer to the request. With `targets_may_omit_length`, an answer without a
    length ends with its connection, and is whole unless that was reset. With
    `fractional_retry_after`, Retry-After may have a fraction of a second, for
    callers whose deadlines are shorter than one. With `unrouted_is_missing`, a
    request without a route is answered 404 once a version is known, in place
    of 503, after which callers may ask again. Once told to stop, the proxy
    takes callers for `leave_ms` more, so that they can learn of it.
    `retry_burst` bounds the retries to one service that all proxies together
    make beyond their share of its requests.
    Without `probe_targets`, targets are judged by their answers alone.
    """

    caller_port: int = 0
    target_port: int = 0
    control_hosts_by_name: dict[str, Voter] = attrs.field(factory=dict)
    caller_listen: str = ""
    target_listen: str = ""
    ready_listen: str = ""
    local_service: str = ""
    local_target: str = ""
    announcement_lease_ms: int = 4000
    targets_echo_request_id: bool = False
    targets_may_omit_length: bool = False
    fractional_retry_after: bool = False
    leave_ms: int = 0
    retry_burst: int = 50
    unrouted_is_missing: bool = False
    probe_targets: bool = True
    headers: HeaderNames = attrs.field(factory=HeaderNames)
    entry_services: tuple[str, ...] = ()
    max_body_bytes: int = 1024 * 1024
    max_in_flight: int = 1024
    adaptive_limits: bool = True
    shutdown_grace_ms: int = 10_000
    floor_wait_ms: int = 1500


@attrs.frozen(kw_only=True)
class TelemetrySettings:
    """Where logs, events and metrics go; an empty value turns one off."""

    log_format: str = "console"
    log_level: str = "info"
    event_file: str = ""
    statsd_address: str = ""
    statsd_port: int = 8125
    metrics_listen: str = ""


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one process."""

    host: HostSettings
    control: ControlSettings | None = None
    proxy: ProxySettings | None = None
    telemetry: TelemetrySettings = attrs.field(factory=TelemetrySettings)
    discovery: DiscoverySettings = attrs.field(factory=DiscoverySettings)


class Reloader:
    """Load a settings file again, and parse it only if it has changed."""

    def __init__(self, path):
        """Load nothing yet."""
        self._path = pathlib.Path(path)
        self._data = None
        self._result = None

    def load(self):
        """Return the result of `load` for the present file."""
        try:
            data = self._path.read_bytes()
        except OSError:
            # `load` tells what is wrong with it.
            data = None
        if data is None or data != self._data:
            self._data = data
            self._result = load(self._path)
        return self._result


def load(path):
    """Return Valid with Settings, or Invalid with every problem found."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        document = Document(text="")
        problem = document.problem(
            "(document)",
            f"cannot read {path}: {error.strerror}",
            "Give the path of a readable settings file.",
        )
        return Invalid(problems=(problem,))
    result = parse(data, Settings)
    match result:
        case Valid(value=settings, document=document):
            problems = tuple(find_problems(settings, document))
            if problems:
                return Invalid(problems=problems)
            return Valid(value=_with_seeds(settings), document=document)
        case Invalid():
            return result


def _with_seeds(settings):
    """Return the settings with the seeds where no control host is named."""
    found = settings.discovery.control_hosts_by_name
    control, proxy = settings.control, settings.proxy
    if control and not control.voters_by_name:
        control = attrs.evolve(control, voters_by_name=found)
    if proxy and not proxy.control_hosts_by_name:
        proxy = attrs.evolve(proxy, control_hosts_by_name=found)
    return attrs.evolve(settings, control=control, proxy=proxy)

"""All settings of the daemon, their defaults, and loading them."""

import pathlib

import attrs

from verbenanotch.conf._checks import find_problems
from verbenanotch.documents import Document, Invalid, Valid, parse

BYTES_PER_MB = 1_000_000
# Bodies may be copied while they are passed on, and the rest of the process
# needs room as well.
BODIES_MEMORY_SHARE = 1 / 3


@attrs.frozen(kw_only=True)
class HostSettings:
    """Identity of this process and the address at which peers reach it.

    A proxy announces `advertised_address` and `advertised_peer_port` to
    the proxies that call it, for hosts behind network address translation;
    an empty or zero value means `address` or `peer_port`. Hosts of several
    small availability zones that share their control hosts set the same
    `control_zone`; an empty value means the availability zone. `memory_mb` is
    the memory that the process may use, in millions of bytes: limits that do
    not fit into it are lowered; 0 means unknown.
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
    memory_mb: float = 0.0
    peer_key: str = attrs.field(repr=False)

    @property
    def effective_control_zone(self):
        """Return the zone whose control hosts manage this host's lease."""
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
class ControlHostAddress:
    """The address of a control host, which need not be a voter.

    If `availability_zone` is set, control hosts exchange tables of targets
    with one control host of each other zone; if it is empty, with every
    control host.
    """

    address: str
    peer_port: int
    availability_zone: str = ""


@attrs.frozen(kw_only=True)
class ControlSettings:
    """Settings of a control host.

    `data_folder` is the directory of the replicated log.
    `voters_by_name` are the initial voters of the replicated log.
    `control_hosts_by_name` are all control hosts, voters included.
    `operator_listen` is `IP:PORT` and replaces `operator_port` at the host's
    address.
    Changes within `coalesce_ms` of the last update are sent together.
    `admission_limit` is the maximum number of subscriptions that are started
    concurrently. `whole_state_updates` sends full states instead of deltas.
    A host with `may_create_cluster` creates the cluster together with the
    other initial voters; without it, the host joins an existing one, or
    creates one if the initial voters are more than `tolerated_losses` and all
    of them blank.
    With `tolerated_losses` above 0, the leader automatically keeps twice
    that number plus one voters: it replaces voters that have been
    unreachable for `voter_patience_ms` by control hosts that have caught up.
    Until the deadline of a rollout, a bad software version gets at most the
    share `max_rollout_share` of its service's requests, and
    `rollout_allowance` more.
    """

    data_folder: str
    operator_port: int = 0
    operator_token: str = attrs.field(repr=False, default="")
    operator_listen: str = ""
    voters_by_name: dict[str, ControlHostAddress] = attrs.field(factory=dict)
    control_hosts_by_name: dict[str, ControlHostAddress] = attrs.field(
        factory=dict
    )
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
    max_rollout_share: float = 0.1
    rollout_allowance: float = 50.0


def parse_endpoint(listen, *, address, port):
    """Return address and port of the setting `listen`, which is `IP:PORT`.

    If it is empty, return `address` and `port` instead.
    """
    if not listen:
        return address, port
    host, _, number = listen.rpartition(":")
    return host, int(number)


@attrs.frozen(kw_only=True)
class DiscoverySettings:
    """Discovery of control hosts if no other setting lists them.

    `seeds` are the IP addresses of some control hosts, each with or without
    a port, which is ignored: all listen for peers on `peer_port`. The name
    of a discovered control host is its address.
    """

    seeds: tuple[str, ...] = ()
    peer_port: int = 0

    @property
    def control_hosts_by_name(self):
        """Return the seeds as peers, keyed by name."""
        addresses = [seed.partition(":")[0] for seed in self.seeds]
        return {
            address: ControlHostAddress(
                address=address, peer_port=self.peer_port
            )
            for address in addresses
        }


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Names of the headers that callers, proxies and targets exchange.

    A header with an empty name is omitted. `timeout` is the remaining time
    of the request in milliseconds. `outcome` is the kind of the proxy's
    response, such as `answered`. `depth` is the number of calls that led to
    the request. `retries` is the number of retries that the target's own
    calls may use. `target` is the id of the target that a request is sent
    to; targets that know the header check it. `caller` is the service on the
    host whose proxy accepted the request from its caller. A target's
    response with the header `not_run` means that the request was not run. A
    target's response to a health check has its id in `target_id` and its
    load, as `running,waiting,slots`, in `target_load`. In any response, a
    fourth figure in that header is the pace of the target's machine: how long
    work takes there now, in percent of the usual time. Any of its responses
    may name the requests per second that it takes from the whole mesh in
    `target_limit`, and say with `1` in `target_leaving` that it is about to
    exit. A caller's request has a key of a client account in `account_key`,
    which no target receives; targets receive the account's name in `account`.
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
    target_limit: str = "X-Verbenanotch-Target-Limit"
    target_leaving: str = "X-Verbenanotch-Target-Leaving"
    account_key: str = "X-Verbenanotch-Account-Key"
    account: str = "X-Verbenanotch-Account"


@attrs.frozen(kw_only=True)
class ProxySettings:
    """Settings of a proxy.

    `control_hosts_by_name` are the control hosts of the proxy's
    availability zone. `entry_services` are the services that callers reach
    through this proxy; empty means all services. Without
    `adaptive_limits` a target's limit stays at the slots that it announces.
    With `even_load`, the loads of all targets are estimated from old reports;
    without it, only those of services whose targets tell their pace.
    `caller_listen` and `target_listen` are `IP:PORT` and replace
    `caller_port` and `target_port` at the host's address. `ready_listen` is
    the `IP:PORT` that reports whether callers are served; an empty value
    turns it off.
    `local_service` is the service of the host's targets until one has
    announced itself; after a start, the proxy requests the health and id of
    the target at `local_target` (`IP:PORT`). A target is removed
    `announcement_lease_ms` after its last announcement. With
    `targets_echo_request_id`, a response with another request id is not
    accepted as the response to the request. With `targets_may_omit_length`,
    a response without a length ends when its connection is closed, and is
    complete unless the connection was reset or the target received only part
    of the request. With `fractional_retry_after`, Retry-After may have a
    fraction of a second, for callers whose deadlines are shorter than one
    second. With `unrouted_is_missing`, a request without a route gets status
    404 once a version is known, instead of 503, after which callers may retry.
    After the signal to stop, the proxy accepts callers for another `leave_ms`,
    while `ready_listen` reports that it is not ready, so that callers learn
    that it is stopping. It then waits up to `shutdown_grace_ms` until other
    hosts have its records of keyed requests and the requests in progress have
    ended. With `stop_seconds`, the time from the signal until the process is
    killed, both follow from it.
    All proxies together send at most about `retry_burst` retries to one
    service in a burst; apart from that, retries are limited to a share of
    its requests. Without `probe_targets`, a target's health is judged by its
    responses to requests alone. `max_in_flight` limits the requests that the
    proxy runs concurrently for callers, and separately those for other
    proxies. `link_mbps` is the rate of the host's link in million bits per
    second: large answers to other proxies are sent no faster than a share of
    it; 0 turns that off. `max_pipelined` limits the safe requests that it runs
    concurrently for one connection of a caller. The bodies of all requests
    and answers that the proxy keeps, from their first byte until they are
    sent, take at most `max_receiving_bytes`, each of them at most
    `max_body_bytes`; requests without room are refused. Until the body of a
    request has arrived, 64 KiB are added to it for what the request keeps
    besides, and it does not count for `max_in_flight`. At a start,
    `floor_wait_ms` limits the wait for a configuration before callers are
    accepted. It is also the time in which the proxy collects the answers that
    determine its minimum version.
    In a mesh with client accounts, `keyless_requests` says what a request
    without a key is on a route that is not public: with "local-calls" it is
    taken for a call of this host's targets, which have no key, and runs
    without an account; with "reject" it is refused. With an
    `accounts_lease_seconds` above 0, such routes are refused while no control
    host has confirmed for that time that the proxy's version is the newest
    one, as keys may have been withdrawn since. With `hold_new_versions`,
    targets of a software version that starts beside the one in use get no
    requests before a rollout gives them some; without it, all versions are
    equal outside of rollouts.
    """

    caller_port: int = 0
    target_port: int = 0
    control_hosts_by_name: dict[str, ControlHostAddress] = attrs.field(
        factory=dict
    )
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
    stop_seconds: float = 0.0
    retry_burst: float = 50.0
    unrouted_is_missing: bool = False
    probe_targets: bool = True
    headers: HeaderNames = attrs.field(factory=HeaderNames)
    entry_services: tuple[str, ...] = ()
    max_body_bytes: int = 1024 * 1024
    max_receiving_bytes: int = 64 * 1024 * 1024
    max_in_flight: int = 1024
    link_mbps: float = 0.0
    max_pipelined: int = 16
    adaptive_limits: bool = True
    even_load: bool = False
    shutdown_grace_ms: int = 10_000
    floor_wait_ms: int = 1500
    keyless_requests: str = "reject"
    accounts_lease_seconds: float = 0.0
    hold_new_versions: bool = False


@attrs.frozen(kw_only=True)
class TelemetrySettings:
    """Outputs of logs, events and metrics; an empty value turns one off."""

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
    """Read a settings file repeatedly; parse it only if it has changed."""

    def __init__(self, path):
        """Remember the path; `load` reads the file."""
        self._path = pathlib.Path(path)
        self._data = None
        self._result = None

    def load(self):
        """Return Valid or Invalid for the current file; see `conf.load`."""
        try:
            data = self._path.read_bytes()
        except OSError as error:
            self._data = None
            return _unreadable(self._path, error)
        if data != self._data:
            self._result = _check(data)
            self._data = data
        return self._result


def load(path):
    """Read a settings file and check it.

    Returns Valid with Settings, or Invalid with every problem found.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        return _unreadable(path, error)
    return _check(data)


def _unreadable(path, error):
    problem = Document(text="").problem(
        "(document)",
        f"cannot read {path}: {error.strerror}",
        "Specify the path of a readable settings file.",
    )
    return Invalid(problems=(problem,))


def _check(data):
    """Return Valid with the Settings in the bytes of a file, or Invalid."""
    result = parse(data, Settings)
    match result:
        case Valid(value=settings, document=document):
            problems = tuple(find_problems(settings, document))
            if problems:
                return Invalid(problems=problems)
            settings = _within_memory(_with_seeds(settings))
            return Valid(value=settings, document=document)
        case Invalid():
            return result


def _within_memory(settings):
    """Return the settings with limits that the memory of the host allows.

    An idle proxy always accepts a single body of the largest size.
    """
    proxy, memory_mb = settings.proxy, settings.host.memory_mb
    if not proxy or not memory_mb:
        return settings
    share_bytes = int(memory_mb * BYTES_PER_MB * BODIES_MEMORY_SHARE)
    max_receiving_bytes = min(
        proxy.max_receiving_bytes, max(proxy.max_body_bytes, share_bytes)
    )
    return attrs.evolve(
        settings,
        proxy=attrs.evolve(proxy, max_receiving_bytes=max_receiving_bytes),
    )


def _with_seeds(settings):
    """Return the settings with the seeds in place of missing control hosts."""
    seeds = settings.discovery.control_hosts_by_name
    control, proxy = settings.control, settings.proxy
    if control and not control.voters_by_name:
        control = attrs.evolve(control, voters_by_name=seeds)
    if proxy and not proxy.control_hosts_by_name:
        proxy = attrs.evolve(proxy, control_hosts_by_name=seeds)
    return attrs.evolve(settings, control=control, proxy=proxy)

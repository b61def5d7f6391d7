"""Every setting of the daemon, with its default and its rule."""

import ipaddress
import pathlib

import attrs

from verbenanotch.documents import Document, Invalid, Valid, parse

MIN_KEY_CHARACTERS = 16
MIN_LEASE_MS = 2500
ROLES = ("control", "proxy")
LOG_FORMATS = ("console", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen(kw_only=True)
class HostSettings:
    """Who this process is and where peers reach it.

    A proxy announces `advertised_address` and `advertised_peer_port` to
    the proxies that call it, for hosts behind a translation of addresses;
    an empty or zero value stands for `address` or `peer_port`.
    """

    name: str
    role: str
    availability_zone: str
    address: str
    peer_port: int
    advertised_address: str = ""
    advertised_peer_port: int = 0
    region: str = "local"
    peer_key: str = attrs.field(repr=False)

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
    Changes within `coalesce_ms` of the last update go out together.
    `admission_limit` bounds the subscriptions that start at a time.
    `whole_state_updates` sends whole states in place of deltas.
    """

    data_folder: str
    operator_port: int
    operator_token: str = attrs.field(repr=False)
    voters_by_name: dict[str, Voter]
    control_hosts_by_name: dict[str, Voter] = attrs.field(factory=dict)
    election_timeout_ms: int = 1000
    heartbeat_ms: int = 200
    lease_ms: int = 3000
    snapshot_every_entries: int = 1000
    coalesce_ms: int = 50
    admission_limit: int = 32
    whole_state_updates: bool = False


@attrs.frozen(kw_only=True)
class ProxySettings:
    """Settings of a proxy.

    `control_hosts_by_name` are the control hosts of the proxy's
    availability zone. `entry_services` are the services that callers reach
    through this proxy; empty means all services. Without
    `adaptive_limits` a target's limit stays at the slots that it announces.
    """

    caller_port: int
    target_port: int
    control_hosts_by_name: dict[str, Voter]
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


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one process."""

    host: HostSettings
    control: ControlSettings | None = None
    proxy: ProxySettings | None = None
    telemetry: TelemetrySettings = attrs.field(factory=TelemetrySettings)


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
            problems = tuple(_problems(settings, document))
            return Invalid(problems=problems) if problems else result
        case Invalid():
            return result


def _problems(settings, document):
    """Yield every broken rule of otherwise well-formed settings."""
    yield from _host_problems(settings.host, document)
    yield from _section_problems(settings, document)
    yield from _telemetry_problems(settings.telemetry, document)
    for key, port in _ports(settings):
        if not 0 < port < 65536:
            yield document.problem(
                key, f"{port} is no port", "Use 1 to 65535."
            )
    for key, address in _addresses(settings):
        if not _is_ip(address):
            yield document.problem(
                key, f"{address!r} is no IP number", "Use an IP number."
            )


def _host_problems(host, document):
    if host.role not in ROLES:
        yield document.problem(
            "host.role",
            f"unknown role {host.role!r}",
            f"Use one of {', '.join(ROLES)}.",
        )
    if len(host.peer_key) < MIN_KEY_CHARACTERS:
        yield document.problem(
            "host.peer_key",
            "the key is too short",
            f"Use at least {MIN_KEY_CHARACTERS} characters.",
        )


def _section_problems(settings, document):
    if settings.host.role == "control" and settings.control is None:
        yield document.problem(
            "control", "the section is missing", "Add [control]."
        )
    if settings.host.role == "proxy" and settings.proxy is None:
        yield document.problem(
            "proxy", "the section is missing", "Add [proxy]."
        )
    control = settings.control
    if control and control.lease_ms < MIN_LEASE_MS:
        yield document.problem(
            "control.lease_ms",
            "the lease is shorter than proxies rely on it",
            f"Use at least {MIN_LEASE_MS}.",
        )
    if control and control.heartbeat_ms * 2 > control.election_timeout_ms:
        yield document.problem(
            "control.heartbeat_ms",
            "heartbeats are too rare for the election timeout",
            "Use at most half of election_timeout_ms.",
        )


def _telemetry_problems(telemetry, document):
    if telemetry.log_format not in LOG_FORMATS:
        yield document.problem(
            "telemetry.log_format",
            f"unknown format {telemetry.log_format!r}",
            f"Use one of {', '.join(LOG_FORMATS)}.",
        )
    if telemetry.log_level not in LOG_LEVELS:
        yield document.problem(
            "telemetry.log_level",
            f"unknown level {telemetry.log_level!r}",
            f"Use one of {', '.join(LOG_LEVELS)}.",
        )


def _ports(settings):
    yield "host.peer_port", settings.host.peer_port
    if settings.host.advertised_peer_port:
        yield "host.advertised_peer_port", settings.host.advertised_peer_port
    if settings.control:
        yield "control.operator_port", settings.control.operator_port
    if settings.proxy:
        yield "proxy.caller_port", settings.proxy.caller_port
        yield "proxy.target_port", settings.proxy.target_port
    for key, peer in _peers(settings):
        yield f"{key}.peer_port", peer.peer_port


def _addresses(settings):
    yield "host.address", settings.host.address
    if settings.host.advertised_address:
        yield "host.advertised_address", settings.host.advertised_address
    for key, peer in _peers(settings):
        yield f"{key}.address", peer.address


def _peers(settings):
    if settings.control:
        for name, peer in settings.control.voters_by_name.items():
            yield f"control.voters_by_name.{name}", peer
        for name, peer in settings.control.control_hosts_by_name.items():
            yield f"control.control_hosts_by_name.{name}", peer
    if settings.proxy:
        for name, peer in settings.proxy.control_hosts_by_name.items():
            yield f"proxy.control_hosts_by_name.{name}", peer


def _is_ip(text):
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True

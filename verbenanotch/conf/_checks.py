"""Validation of the settings; reports all problems at once."""

import ipaddress
import math

from verbenanotch.documents import value_problems

MIN_KEY_CHARACTERS = 16
# Proxies rely on their lease for MAX_RENEWAL_AGE_SECONDS (2 s, in `proxy`)
# after they sent the last confirmed renewal. The lease must be longer.
MIN_LEASE_MS = 2500
# New holders of idempotency records wait INCOMPLETE_VIEW_MS (in `idempotency`)
# until a control host that has just started knows every live host. That takes
# one lease, so the lease must not be longer than the wait.
MAX_LEASE_MS = 3000
ROLES = ("control", "proxy")
KEYLESS_REQUESTS = ("local-calls", "reject")
LOG_FORMATS = ("console", "json")
LOG_LEVELS = ("debug", "info", "warning", "error")


def find_problems(settings, document):
    """Yield a Problem for each rule that the parsed settings break."""
    yield from value_problems(settings, document=document)
    yield from _host_problems(settings.host, document)
    yield from _section_problems(settings, document)
    yield from _telemetry_problems(settings.telemetry, document)
    for key, port in _ports(settings):
        if not 0 < port < 65536:
            yield document.problem(
                key, f"{port} is not a port", "Use 1 to 65535."
            )
    for key, address in _addresses(settings):
        if not _is_ip(address):
            yield document.problem(
                key, f"{address!r} is not an IP address", "Use an IP address."
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
    if host.memory_mb < 0:
        yield document.problem(
            "host.memory_mb",
            "is negative",
            "Use the memory of the process, or 0 if it is not known.",
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
    yield from _discovery_problems(settings, document)
    yield from _control_problems(settings.control, document)
    yield from _proxy_problems(settings.proxy, document)
    yield from _account_problems(settings.proxy, document)
    control = settings.control
    if control and control.lease_ms < MIN_LEASE_MS:
        yield document.problem(
            "control.lease_ms",
            "the lease may expire while a proxy still relies on it",
            f"Use at least {MIN_LEASE_MS}.",
        )
    if control and control.lease_ms > MAX_LEASE_MS:
        yield document.problem(
            "control.lease_ms",
            "the lease is longer than the time that new record holders wait",
            f"Use at most {MAX_LEASE_MS}.",
        )
    if control and control.heartbeat_ms * 2 > control.election_timeout_ms:
        yield document.problem(
            "control.heartbeat_ms",
            "the heartbeat interval is too long for the election timeout",
            "Use at most half of election_timeout_ms.",
        )


def _control_problems(control, document):
    for field in ("max_rollout_share", "rollout_allowance"):
        if control and not getattr(control, field) >= 0:
            yield document.problem(
                f"control.{field}", "is not a limit", "Use at least 0."
            )


def _proxy_problems(proxy, document):
    if proxy and proxy.max_receiving_bytes < proxy.max_body_bytes:
        yield document.problem(
            "proxy.max_receiving_bytes",
            "the limit of all answers is below that of a single one",
            f"Use at least max_body_bytes, {proxy.max_body_bytes}.",
        )
    if proxy and proxy.link_mbps < 0:
        yield document.problem(
            "proxy.link_mbps",
            "is negative",
            "Use the rate of the link, or 0 if it is not known.",
        )
    if proxy and not 0 <= proxy.stop_seconds < math.inf:
        yield document.problem(
            "proxy.stop_seconds",
            "is not a time",
            "Use the seconds from the signal to stop until the process is "
            "killed, or 0 to set leave_ms and shutdown_grace_ms.",
        )
    if proxy and proxy.retry_burst < 0:
        yield document.problem(
            "proxy.retry_burst", "is negative", "Use at least 0."
        )
    if proxy and proxy.max_pipelined < 1:
        yield document.problem(
            "proxy.max_pipelined",
            "no request of a connection could be run",
            "Use at least 1, which runs them one after the other.",
        )


def _account_problems(proxy, document):
    if proxy and proxy.keyless_requests not in KEYLESS_REQUESTS:
        yield document.problem(
            "proxy.keyless_requests",
            f"unknown value {proxy.keyless_requests!r}",
            f"Use one of {', '.join(KEYLESS_REQUESTS)}.",
        )
    if proxy and not proxy.headers.account_key:
        yield document.problem(
            "proxy.headers.account_key",
            "is empty, so that no caller could send a key",
            "Name a header, or omit the setting.",
        )
    if proxy and not 0 <= proxy.accounts_lease_seconds < math.inf:
        yield document.problem(
            "proxy.accounts_lease_seconds",
            "is negative or not finite",
            "Use a number of seconds, or 0 for no limit.",
        )


def _discovery_problems(settings, document):
    seeds = settings.discovery.control_hosts_by_name
    for address in seeds:
        if not _is_ip(address):
            yield document.problem(
                "discovery.seeds",
                f"{address!r} is not an IP address",
                "List IP addresses, each with or without a port.",
            )
    if seeds and not 0 < settings.discovery.peer_port < 65536:
        yield document.problem(
            "discovery.peer_port",
            f"{settings.discovery.peer_port} is not a port",
            "Set the peer port of the control hosts.",
        )
    section = settings.control or settings.proxy
    configured = settings.control and settings.control.voters_by_name
    configured = configured or (
        settings.proxy and settings.proxy.control_hosts_by_name
    )
    if section and not seeds and not configured:
        yield document.problem(
            "discovery.seeds",
            "no control host is configured or can be discovered",
            "List seeds, or configure the control hosts.",
        )
    host = settings.host
    if seeds and host.role == "control" and host.name != host.address:
        yield document.problem(
            "host.name",
            "the name of a discovered control host must be its address",
            f"Use {host.address!r}.",
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
    """Yield the key and value of each port that is in use."""
    yield "host.peer_port", settings.host.peer_port
    if settings.host.advertised_peer_port:
        yield "host.advertised_peer_port", settings.host.advertised_peer_port
    control, proxy = settings.control, settings.proxy
    if control and not control.operator_listen:
        yield "control.operator_port", control.operator_port
    if proxy and not proxy.caller_listen:
        yield "proxy.caller_port", proxy.caller_port
    if proxy and not proxy.target_listen:
        yield "proxy.target_port", proxy.target_port
    for key, text in _endpoints(settings):
        port = text.rpartition(":")[2]
        yield key, int(port) if port.isdecimal() else 0
    for key, peer in _peers(settings):
        yield f"{key}.peer_port", peer.peer_port


def _addresses(settings):
    yield "host.address", settings.host.address
    if settings.host.advertised_address:
        yield "host.advertised_address", settings.host.advertised_address
    for key, text in _endpoints(settings):
        yield key, text.rpartition(":")[0]
    for key, peer in _peers(settings):
        yield f"{key}.address", peer.address


def _endpoints(settings):
    """Yield key and value of each non-empty setting of the form `IP:PORT`."""
    for section, field in (
        ("control", "operator_listen"),
        ("proxy", "caller_listen"),
        ("proxy", "target_listen"),
        ("proxy", "ready_listen"),
        ("proxy", "local_target"),
        ("telemetry", "metrics_listen"),
    ):
        text = getattr(getattr(settings, section), field, "")
        if text:
            yield f"{section}.{field}", text


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

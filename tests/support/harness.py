"""Run a complete mesh of real processes on loopback for a test."""

import json
import shutil
import signal
import uuid

import tomli_w
import urllib3

from examples import topology as plans
from examples.launcher import Child, stop_all, wait_until
from tests.support.callers import CALL_TIMEOUT_SECONDS, send
from tests.support.network import accepts_connections, reserve_network
from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.cli._client import OperatorClient, Reply
from verbenanotch.cli._status import collect, wait_until_active
from verbenanotch.cli.commands.submit import submit_file

SECRETS = plans.Secrets(
    peer_key="peer-key-of-the-tests", operator_token="token-of-the-tests"
)
READY_TIMEOUT_SECONDS = 30.0
SLOTS = 8
PORTS = (
    plans.PEER_PORT,
    plans.OPERATOR_PORT,
    plans.CALLER_PORT,
    plans.TARGET_PORT,
    plans.TARGET_SERVICE_PORT,
)


class Mesh:
    """Processes of one mesh; use it as a context manager.

    `folder` is the directory for settings, data, logs and ledgers. `links`
    are pairs of host names, dialling host first; `relay_factory` makes the
    relay of each, with a `listen_address` and the `address` and `port` to
    dial. `proxy_relay_factory` makes one in front of each proxy's peer port.
    Hosts named in `deferred` are planned, but `start` does not start them.
    """

    def __init__(
        self,
        *,
        folder,
        zones=("z1",),
        control_hosts_per_zone=3,
        proxies_per_zone=2,
        links=(),
        relay_factory=None,
        proxy_relay_factory=None,
        deferred=(),
        overrides=None,
    ):
        """Plan the hosts and write their settings; start nothing.

        `overrides` maps a section name such as `control` to settings that
        replace the planned ones on every host that has the section.
        """
        self.folder = folder
        self._reservations = []
        self.topology = self._plan(
            zones=zones,
            control_hosts_per_zone=control_hosts_per_zone,
            proxies_per_zone=proxies_per_zone,
        )
        self.relays_by_link = {}
        self.relays_by_proxy = {}
        self._deferred = frozenset(deferred)
        self._children_by_name = {}
        self._targets_by_name = {}
        self._next_port_by_proxy = {}
        self._pool = urllib3.PoolManager(retries=False, maxsize=64)
        for link in links:
            self._add_relay(link, relay_factory)
        if proxy_relay_factory is not None:
            self._add_proxy_relays(proxy_relay_factory)
        for host in self.topology.hosts_by_name.values():
            self._write_settings(host, overrides or {})
        self.client = OperatorClient(
            servers=self.topology.servers, token=SECRETS.operator_token
        )

    def __enter__(self):
        """Start every host and wait until all are ready."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        """Stop every process that this mesh started."""
        self.stop()

    def start(self):
        """Start all daemons; wait until they are ready."""
        names = [
            name
            for name in self.topology.hosts_by_name
            if name not in self._deferred
        ]
        for name in names:
            self.start_host(name)
        for name in names:
            self.wait_ready(name)

    def start_host(self, name):
        """Start one daemon without waiting."""
        child = self._children_by_name.get(name)
        if child is None:
            child = Child(
                name=name,
                module="verbenanotch.cli.daemon",
                arguments=["--settings", str(self.settings_path(name))],
                log_path=self.folder / f"{name}.log",
            )
            self._children_by_name[name] = child
        child.start()

    def wait_ready(self, name):
        """Wait until a control host is ready or a proxy accepts callers."""
        host = self.topology.hosts_by_name[name]
        if host.role == "control":
            self.wait_until(
                lambda: self._is_control_ready(host),
                what=f"readiness of {name}",
            )
        else:
            self.wait_until(
                lambda: accepts_connections(host.address, plans.CALLER_PORT),
                what=f"listener of {name}",
            )

    def wait_until(
        self, predicate, *, what, timeout_seconds=READY_TIMEOUT_SECONDS
    ):
        """Return the predicate's first true value; show logs on timeout."""
        return wait_until(
            predicate,
            timeout_seconds=timeout_seconds,
            what=what,
            explain=self.log_tails,
        )

    def log_tails(self):
        """Return the ends of the logs of all processes."""
        return "\n".join(
            f"--- {child.name} "
            f"{'alive' if child.is_alive else child.exit_code}\n{child.tail()}"
            for child in self._all_children()
        )

    def child(self, name):
        """Return the process of a host or a target by its name."""
        return self._children_by_name.get(name) or self._targets_by_name[name]

    def kill(self, name):
        """End a process by SIGKILL, as in a crash."""
        self.child(name).kill()

    def freeze(self, name):
        """Suspend a process by SIGSTOP."""
        self.child(name).signal(signal.SIGSTOP)

    def thaw(self, name):
        """Resume a frozen process by SIGCONT."""
        self.child(name).signal(signal.SIGCONT)

    def terminate(self, name):
        """Request a graceful shutdown by SIGTERM; do not wait."""
        self.child(name).terminate()

    def restart(self, name):
        """Kill a process if it runs, start it and wait until it is ready."""
        child = self.child(name)
        if child.is_alive:
            child.kill()
        child.start()
        if name in self.topology.hosts_by_name:
            self.wait_ready(name)

    def wipe_disk(self, name):
        """Remove a control host's data, as if its disk were replaced."""
        shutil.rmtree(self.folder / f"{name}.data", ignore_errors=True)

    def start_target(self, proxy_name, service, *, slots=SLOTS, **behaviour):
        """Start a stand-in target beside a proxy; return its name."""
        host = self.topology.hosts_by_name[proxy_name]
        port = self._next_port_by_proxy.get(
            proxy_name, plans.TARGET_SERVICE_PORT
        )
        self._next_port_by_proxy[proxy_name] = port + 1
        name = f"{proxy_name}-{service}-{port}"
        child = Child(
            name=name,
            module="tests.support.stand_in_target",
            arguments=self._target_arguments(
                host, name, service, port, slots, behaviour
            ),
            log_path=self.folder / f"{name}.log",
        )
        self._targets_by_name[name] = child
        child.start()
        self.wait_until(
            lambda: accepts_connections(host.address, port),
            what=f"listener of {name}",
        )
        return name

    def control_target(self, name, **behaviour):
        """Change the behaviour of a stand-in target."""
        proxy_name, _, port = self._target_parts(name)
        host = self.topology.hosts_by_name[proxy_name]
        self._pool.request(
            "POST",
            f"http://{host.server(port)}/_control",
            body=json.dumps(behaviour),
            timeout=CALL_TIMEOUT_SECONDS,
        )

    def target_id(self, name):
        """Return the id that a target announces."""
        proxy_name, service, port = self._target_parts(name)
        host = self.topology.hosts_by_name[proxy_name]
        return f"{service}/{host.server(port)}"

    def submit(
        self, text, *, base=NO_VERSION, submission_id=None, operator="tester"
    ):
        """Submit a file's text or bytes; return the Reply."""
        return submit_file(
            self.client,
            text=text.encode() if isinstance(text, str) else text,
            submission_id=submission_id or uuid.uuid4().hex,
            operator=operator,
            base=base,
        )

    def accept(self, text, **options):
        """Submit a file that must be accepted; return its version.

        Waits until the version is active on every proxy.
        """
        reply = self.submit(text, **options)
        assert reply.kind == "accepted", f"{reply}\n{self.log_tails()}"
        version = Version.parse(reply.value["version"])
        self.wait_until_active(version)
        return version

    def wait_until_active(
        self, version, *, timeout_seconds=READY_TIMEOUT_SECONDS
    ):
        """Wait until every proxy has acknowledged a version."""
        return wait_until_active(
            self.client, version, timeout_seconds=timeout_seconds
        )

    def status(self):
        """Return the merged MeshStatus."""
        return collect(self.client)

    def call(
        self,
        method,
        path,
        *,
        proxy,
        key=None,
        body=None,
        request_id=None,
        timeout_ms=None,
        account_key=None,
        timeout_seconds=CALL_TIMEOUT_SECONDS,
    ):
        """Send a caller's request to a proxy; return its Answer."""
        return send(
            self._pool,
            method,
            self.topology.hosts_by_name[proxy].server(plans.CALLER_PORT),
            path,
            key=key,
            body=body,
            request_id=request_id,
            timeout_ms=timeout_ms,
            account_key=account_key,
            timeout_seconds=timeout_seconds,
        )

    def leader(self, *, other_than=""):
        """Return the name of the control host with the role of leader.

        Returns None if no host reports that role. The host named
        `other_than` is not queried.
        """
        for host in self.topology.control_hosts:
            if host.name == other_than or not self.child(host.name).is_alive:
                continue
            match self.client.request_from(
                host.server(plans.OPERATOR_PORT), "GET", "/v1/status"
            ):
                case Reply(value={"replica": {"role": "leader"}}):
                    return host.name
        return None

    def silent_zones(self):
        """Return the zones that no reachable control host reports as live."""
        zones_by_name = self.status().zones_by_name
        return {name for name, zone in zones_by_name.items() if not zone.live}

    def targets(self):
        """Return the names of all started targets."""
        return list(self._targets_by_name)

    def served_by(self, path, *, proxy, calls):
        """Return the ids of the targets that answered `calls` GETs."""
        answers = [self.call("GET", path, proxy=proxy) for _ in range(calls)]
        return {
            answer.value["target"]
            for answer in answers
            if answer.outcome == "answered"
        }

    def settings_path(self, name):
        """Return the path of a host's settings file."""
        return self.folder / f"{name}.toml"

    def event_paths(self):
        """Return the event files of all daemons."""
        return sorted(self.folder.glob("*.events.jsonl"))

    def stop(self):
        """End every process that this mesh started, and its relays."""
        stop_all(list(self._targets_by_name.values()))
        stop_all(list(self._children_by_name.values()))
        for relays in (self.relays_by_link, self.relays_by_proxy):
            for relay in relays.values():
                relay.stop()
        for reservation in self._reservations:
            reservation.close()

    def _plan(self, **hosts):
        """Return a Topology on a network where no process listens.

        A process left by an earlier run would answer in place of this mesh's.
        """
        while True:
            octet, reservation = reserve_network()
            self._reservations.append(reservation)
            topology = plans.plan(second_octet=octet, **hosts)
            if not any(
                accepts_connections(host.address, port)
                for host in topology.hosts_by_name.values()
                for port in PORTS
            ):
                return topology

    def _all_children(self):
        return [
            *self._children_by_name.values(),
            *self._targets_by_name.values(),
        ]

    def _add_relay(self, link, relay_factory):
        from_name, to_name = link
        from_host = self.topology.hosts_by_name[from_name]
        to_host = self.topology.hosts_by_name[to_name]
        self.relays_by_link[link] = relay_factory(
            listen_address=from_host.address,
            address=to_host.address,
            port=plans.PEER_PORT,
        )

    def _add_proxy_relays(self, relay_factory):
        for proxy in self.topology.proxies:
            self.relays_by_proxy[proxy.name] = relay_factory(
                listen_address=proxy.address,
                address=proxy.address,
                port=plans.PEER_PORT,
            )

    def _write_settings(self, host, overrides):
        peers_by_link = {
            link: {"address": relay.listen_address, "peer_port": relay.port}
            for link, relay in self.relays_by_link.items()
        }
        settings = plans.make_settings(
            host,
            self.topology,
            secrets=SECRETS,
            folder=str(self.folder),
            peers_by_link=peers_by_link,
            advertised_by_name={
                name: {
                    "advertised_address": relay.listen_address,
                    "advertised_peer_port": relay.port,
                }
                for name, relay in self.relays_by_proxy.items()
            },
        )
        for section, values in overrides.items():
            if section in settings:
                settings[section] |= values
        path = self.settings_path(host.name)
        path.write_text(tomli_w.dumps(settings), encoding="utf-8")

    def _is_control_ready(self, host):
        try:
            response = self._pool.request(
                "GET",
                f"http://{host.server(plans.OPERATOR_PORT)}/v1/ready",
                timeout=2.0,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def _target_arguments(self, host, name, service, port, slots, behaviour):
        values_by_option = {
            "service": service,
            "address": host.address,
            "port": port,
            "proxy": host.server(plans.TARGET_PORT),
            "mesh-entry": host.server(plans.CALLER_PORT),
            "slots": slots,
            "ledger": self.folder / f"{name}.ledger.jsonl",
            "behaviour": json.dumps(behaviour),
        }
        return [f"--{key}={value}" for key, value in values_by_option.items()]

    def _target_parts(self, name):
        for proxy in self.topology.proxies:
            if name.startswith(f"{proxy.name}-"):
                rest = name.removeprefix(f"{proxy.name}-")
                service, _, port = rest.rpartition("-")
                return proxy.name, service, int(port)
        raise KeyError(name)

"""One replica of the log: the public face of the package."""

import secrets
import time

import attrs
import eventlet

from verbenanotch import wire
from verbenanotch.replication import events
from verbenanotch.replication._bootstrap import (
    Bootstrap,
    Create,
    Join,
    Mismatch,
)
from verbenanotch.replication._core import Core
from verbenanotch.replication._core_output import Timing
from verbenanotch.replication._driver import Driver
from verbenanotch.replication._entries import (
    Configuration,
    EntryKind,
    Member,
    name_of,
)
from verbenanotch.replication._files import Files
from verbenanotch.replication._links import Links
from verbenanotch.replication._messages import (
    Hello,
    ProposeReply,
    ProposeRequest,
    ReadReply,
    ReadRequest,
)
from verbenanotch.replication._outcomes import ReplicaStatus
from verbenanotch.replication._requests import Requests
from verbenanotch.replication._storage import Storage
from verbenanotch.replication.exceptions import (
    DiskFailedError,
    ReplicationError,
)
from verbenanotch.telemetry import emit

DISK_ID_BYTES = 8
DIAL_SECONDS = 0.2
MAX_ALONE_SECONDS = 3.0
MILLISECONDS = 1000


class Replica:
    """A voter or a learner of the replicated log.

    `state_machine` has `apply(version, command)` that returns bytes,
    `snapshot()` and `restore(data)`; none of them may block. It is given
    an entry only once that is committed and synced to the local disk.
    If it has `refusal(command)`, the leader asks it before it appends a
    command, and answers Unavailable with the reason that it returns.
    `random` is a random.Random; identities come from the system instead,
    since two disks must never have the same one.
    """

    def __init__(self, *, settings, state_machine, random, files=None):
        """Prepare; nothing is read or sent before `start`.

        `files` replaces access to the data folder in tests.
        """
        self._settings = settings
        self._state_machine = state_machine
        self._random = random
        self._files = files
        self._identity = None
        self._driver = None
        self._links = None
        self._requests = None
        self._running = False
        self._added_peers_by_name = {}

    def add_peers(self, peers_by_name):
        """Dial these control hosts too; each is a Voter of the settings."""
        self._added_peers_by_name.update(peers_by_name)

    def members_by_name(self):
        """Return the voters and the other connected control hosts.

        Each is a Member; this host is among them once it has a cluster.
        """
        members = self._driver.core.log.configuration.voters_by_name
        members.update(self._links.connected_members_by_name())
        if self._identity.cluster_id:
            members[self._own.name] = self._own
        return members

    def start(self):
        """Read the data folder and take part.

        Raises StorageError if the folder is damaged or another host's.
        """
        recovered = self._open_storage()
        if recovered.cut_bytes:
            emit(events.TAIL_CUT, bytes=recovered.cut_bytes)
        self._identity = recovered.identity
        self._assemble(recovered)
        self._running = True
        self._driver.start()
        self._dialer = eventlet.spawn(self._dial_forever)
        self._act_on(self._bootstrap.begin())

    def stop(self):
        """End all connections and background work."""
        self._running = False
        if self._driver is not None:
            self._dialer.kill()
            self._links.stop()
            self._driver.stop()

    def handle(self, connection):
        """Serve a connection of Purpose.REPLICATION until it ends."""
        if not self._running:
            raise wire.ConnectionClosedError("the replica is not running")
        self._links.serve(connection)

    def propose(self, *, command, timeout_seconds):
        """Return Committed, Unavailable or Unknown for a command.

        Works on every replica; others than the leader forward to it.
        """
        return self._requests.propose(
            EntryKind.COMMAND, command, timeout_seconds
        )

    def confirm_read(self, *, timeout_seconds):
        """Return ReadConfirmed once all that is committed is applied here.

        A quorum confirms the commit index; else ReadUnavailable.
        """
        return self._requests.confirm_read(timeout_seconds)

    def change_voters(self, *, add="", remove="", timeout_seconds=5.0):
        """Add or remove one voter by host name; same outcomes as `propose`.

        A host to be added must be connected and caught up.
        """
        return self._requests.change_voters(add, remove, timeout_seconds)

    def status(self):
        """Return a ReplicaStatus."""
        core = self._driver.core
        configuration = core.log.configuration
        return ReplicaStatus(
            name=self._identity.name,
            disk_id=self._identity.disk_id,
            cluster_id=self._identity.cluster_id,
            role=self._role(),
            term=core.term,
            leader=name_of(core.leader_id),
            commit_index=core.commit_index,
            applied_index=self._driver.applied_index,
            synced_index=core.synced_index,
            last_index=core.log.last_index,
            snapshot_index=core.log.snapshot.index,
            voters_by_name=configuration.voters_by_name,
            returning=configuration.returning,
            fsync_ms=self._storage.last_sync_ms,
            error=str(self._driver.error or ""),
        )

    def on_hello(self, hello):
        """Take in who a peer is; tell whether it may stay connected."""
        decision = self._bootstrap.consider(
            hello, own_cluster_id=self._identity.cluster_id
        )
        if isinstance(decision, Mismatch):
            emit(
                events.CLUSTER_MISMATCH,
                peer=hello.member.name,
                peer_cluster=decision.cluster_id,
                own_cluster=self._identity.cluster_id,
            )
            return False
        self._act_on(decision)
        self._dial(hello.member)
        if hello.cluster_id and self._identity.cluster_id:
            self._driver.core.on_peer_connected(hello.member, time.monotonic())
            self._driver.wake()
        return True

    def on_message(self, member_id, message):
        """Take in a message of a connected member."""
        match message:
            case ProposeRequest() | ReadRequest():
                self._requests.serve(member_id, message)
            case ProposeReply() | ReadReply():
                self._requests.take_reply(message)
            case _:
                if self._identity.cluster_id:
                    self._driver.receive(member_id, message)

    def _open_storage(self):
        folder = self._settings.control.data_folder
        try:
            files = self._files or Files(folder=folder)
            self._storage = Storage(files=files)
            return self._storage.open(
                name=self._settings.host.name,
                new_disk_id=secrets.token_hex(DISK_ID_BYTES),
            )
        except OSError as error:
            raise DiskFailedError(
                file=folder,
                offset=0,
                text=f"the folder cannot be used: {error.strerror}",
                remedy="Check control.data_folder, its rights and its disk",
            ) from error

    def _assemble(self, recovered):
        host = self._settings.host
        control = self._settings.control
        self._own = Member(
            name=host.name,
            disk_id=recovered.identity.disk_id,
            address=host.address,
            peer_port=host.peer_port,
        )
        timing = Timing(
            election_timeout=control.election_timeout_ms / MILLISECONDS,
            heartbeat=control.heartbeat_ms / MILLISECONDS,
            wanted_voters=(
                2 * control.tolerated_losses + 1
                if control.tolerated_losses
                else 0
            ),
            voter_timeout=control.voter_patience_ms / MILLISECONDS,
        )
        core = Core(
            own_id=self._own.id,
            log=recovered.log,
            term=recovered.term,
            vote=recovered.vote,
            commit_index=recovered.commit_index,
            timing=timing,
            random=self._random,
            now=time.monotonic(),
        )
        self._links = Links(
            own_name=host.name,
            key=host.peer_key.encode(),
            random=self._random,
            make_hello=self._make_hello,
            handler=self,
        )
        self._driver = Driver(
            core=core,
            storage=self._storage,
            state_machine=self._state_machine,
            send=self._links.send,
            timing=timing,
            snapshot_every=control.snapshot_every_entries,
        )
        if recovered.snapshot_data is not None:
            self._driver.restore(recovered.snapshot_data)
        self._requests = Requests(
            driver=self._driver, send=self._links.send, own_id=self._own.id
        )
        self._bootstrap = Bootstrap(
            own=self._own,
            voter_names=(
                control.voters_by_name if control.may_create_cluster else ()
            ),
        )

    def _make_hello(self):
        return Hello(
            member=self._own,
            cluster_id=self._identity.cluster_id,
            first_voters=self._identity.first_voters,
        )

    def _act_on(self, decision):
        match decision:
            case Create(first_voters=voters):
                if not self._identity.cluster_id:
                    cluster_id = secrets.token_hex(DISK_ID_BYTES)
                    self._enter(cluster_id, voters, events.CLUSTER_CREATED)
            case Join(cluster_id=cluster_id, first_voters=voters):
                self._enter(cluster_id, voters, events.CLUSTER_JOINED)

    def _enter(self, cluster_id, voters, entry):
        """Belong to a cluster from now on, synced."""
        identity = attrs.evolve(
            self._identity, cluster_id=cluster_id, first_voters=voters
        )
        try:
            self._storage.save_identity(identity)
        except ReplicationError as error:
            self._driver.fail(error)
            return
        self._identity = identity
        self._driver.core.log.set_first_voters(Configuration(voters=voters))
        emit(entry, cluster=cluster_id, own=self._own.id)

    def _dial_forever(self):
        """Have links to all voters; without a leader, to all hosts."""
        control = self._settings.control
        alone_seconds = 0.0
        while True:
            core = self._driver.core
            alone_seconds += DIAL_SECONDS
            if core.leader_id:
                alone_seconds = 0.0
            peers_by_name = dict(control.voters_by_name)
            peers_by_name.update(self._added_peers_by_name)
            if alone_seconds > MAX_ALONE_SECONDS:
                peers_by_name.update(control.control_hosts_by_name)
            for name, peer in peers_by_name.items():
                self._links.ensure(
                    name=name, address=peer.address, port=peer.peer_port
                )
            for voter in core.log.configuration.voters:
                self._dial(voter)
            eventlet.sleep(DIAL_SECONDS)

    def _dial(self, member):
        """Dial a peer where the settings say, or else where it says."""
        control = self._settings.control
        known = control.voters_by_name.get(
            member.name
        ) or control.control_hosts_by_name.get(member.name, member)
        self._links.ensure(
            name=member.name, address=known.address, port=known.peer_port
        )

    def _role(self):
        if not self._running:
            return "stopped"
        if self._driver.error is not None:
            return "failed"
        if not self._identity.cluster_id:
            return "blank"
        core = self._driver.core
        return str(core.role) if core.is_voter else "learner"

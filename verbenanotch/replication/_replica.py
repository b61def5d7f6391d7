"""The replica, which is the public interface of the package."""

import secrets
import time

import attrs
import eventlet

from verbenanotch import loop, wire
from verbenanotch.replication import events
from verbenanotch.replication._bootstrap import (
    Bootstrap,
    Create,
    Join,
    Mismatch,
    Unpermitted,
)
from verbenanotch.replication._core import Core
from verbenanotch.replication._core_output import Timing
from verbenanotch.replication._driver import DISK_RETRY_SECONDS, Driver
from verbenanotch.replication._entries import (
    Configuration,
    EntryKind,
    Member,
    name_of,
)
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
from verbenanotch.replication._roles import Role
from verbenanotch.replication._storage import Storage
from verbenanotch.replication.exceptions import DiskFailedError
from verbenanotch.storage import Files
from verbenanotch.telemetry import emit

RANDOM_ID_BYTES = 8
DIAL_INTERVAL_SECONDS = 0.2
# Without a leader for this long, all control hosts are dialled.
MAX_LEADERLESS_SECONDS = 3.0
# Members of a cluster and permitted disks are heard of before, if they run.
UNPERMITTED_WAIT_SECONDS = 3.0
MILLISECONDS_PER_SECOND = 1000
# Errors of the path or its permissions. Others, such as those of a disk that
# is full or fails, may pass.
LASTING_ERRORS = (FileExistsError, NotADirectoryError, PermissionError)


class Replica:
    """A voter or a learner of the replicated log.

    `state_machine` has `apply(position, command)` that returns bytes,
    `snapshot()` and `restore(data)`; none of them may block. Entries are
    applied only once they are committed and synced to the local disk. If it
    has `refusal(command)`, the leader calls that before it appends a
    command; if it returns a reason that is not empty, the command is refused
    as Unavailable. `random` is a random.Random. Ids of disks and clusters
    come from the system's source of randomness instead, since no two may
    ever be the same.
    """

    def __init__(self, *, settings, state_machine, random, files=None):
        """Create the replica; nothing is read before `open`.

        `files` replaces access to the data folder in tests.
        """
        self._settings = settings
        self._state_machine = state_machine
        self._random = random
        self._files = files
        self._recovered = None
        self._identity = None
        self._driver = None
        self._links = None
        self._requests = None
        self._running = False
        # The arguments of `_enter_cluster`, if the disk refused to store it.
        self._postponed_entry = None
        self._added_peers_by_name = {}

    def add_peers(self, peers_by_name):
        """Dial these control hosts as well; each is a ControlHostAddress."""
        self._added_peers_by_name.update(peers_by_name)

    def members_by_name(self):
        """Return the voters and the other connected control hosts.

        Each is a Member. This host is included once it has a cluster.
        """
        members = self._driver.core.log.configuration.voters_by_name
        members.update(self._links.connected_members_by_name())
        if self._identity.cluster_id:
            members[self._own.name] = self._own
        return members

    def open(self):
        """Recover the data folder; wait as long as its disk fails.

        Raises StorageError if the folder is damaged, cannot be used or
        belongs to another host.
        """
        self._recovered = self._wait_for_storage(
            secrets.token_hex(RANDOM_ID_BYTES)
        )
        if self._recovered.cut_bytes:
            emit(events.TAIL_CUT, bytes=self._recovered.cut_bytes)
        self._identity = self._recovered.identity

    def start(self):
        """Connect to the peers; `open` must have returned."""
        recovered, self._recovered = self._recovered, None
        self._build_components(recovered)
        self._running = True
        self._driver.start()
        self._dialer = loop.spawn_lasting(self._dial_forever)
        self._apply_decision(
            self._bootstrap.decide_at_start(now=time.monotonic())
        )

    def stop(self):
        """Close all connections and stop background work."""
        self._running = False
        if self._driver is not None:
            self._dialer.kill()
            self._links.stop()
            self._driver.stop()

    def handle(self, connection):
        """Serve an inbound connection of Purpose.REPLICATION until it ends.

        Raises WireError if the connection fails or the peer is refused.
        """
        if not self._running:
            raise wire.ConnectionClosedError("the replica is not running")
        self._links.serve(connection)

    def propose(self, *, command, timeout_seconds):
        """Return Committed, Unavailable or Unknown for a command.

        Replicas other than the leader forward the command to it.
        """
        return self._requests.propose(
            EntryKind.COMMAND, command, timeout_seconds
        )

    def confirm_read(self, *, timeout_seconds):
        """Return ReadConfirmed once all committed entries are applied here.

        A quorum must confirm the commit index; if it does not in time,
        returns ReadUnavailable.
        """
        return self._requests.confirm_read(timeout_seconds)

    def change_voters(self, *, add="", remove="", timeout_seconds=5.0):
        """Add or remove one voter by host name.

        Returns Committed, Unavailable or Unknown, as `propose` does. A host
        to be added must be connected and have caught up.
        """
        return self._requests.change_voters(add, remove, timeout_seconds)

    def leading_term(self):
        """Return the term in which this replica leads, None if it doesn't."""
        if not self._running or self._driver.core.role != Role.LEADER:
            return None
        return self._driver.core.term

    def is_in_contact(self):
        """Return whether a leader with a quorum was active recently."""
        return self._running and self._driver.core.is_in_contact(
            time.monotonic()
        )

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
        """Process a peer's Hello; return whether it may stay connected."""
        decision = self._bootstrap.decide(
            hello,
            own_cluster_id=self._identity.cluster_id,
            now=time.monotonic(),
        )
        if isinstance(decision, Mismatch):
            emit(
                events.CLUSTER_MISMATCH,
                peer=hello.member.name,
                peer_cluster=decision.cluster_id,
                own_cluster=self._identity.cluster_id,
            )
            return False
        self._apply_decision(decision)
        self._dial(hello.member)
        if hello.cluster_id and self._identity.cluster_id:
            self._driver.core.on_peer_connected(hello.member, time.monotonic())
            self._driver.wake()
        return True

    def on_message(self, member_id, message):
        """Process a message from a connected member."""
        match message:
            case ProposeRequest() | ReadRequest():
                self._requests.serve(member_id, message)
            case ProposeReply() | ReadReply():
                self._requests.receive_reply(message)
            case _:
                if self._identity.cluster_id:
                    self._driver.receive(member_id, message)

    def _wait_for_storage(self, new_disk_id):
        """Return what is recovered, once the disk works."""
        waits = False
        while True:
            try:
                recovered = self._open_storage(new_disk_id)
            except DiskFailedError as error:
                if isinstance(error.__cause__, LASTING_ERRORS):
                    raise
                if not waits:
                    emit(events.DISK_AWAITED, error=str(error))
                waits = True
                eventlet.sleep(DISK_RETRY_SECONDS)
            else:
                if waits:
                    emit(events.DISK_AVAILABLE)
                return recovered

    def _open_storage(self, new_disk_id):
        directory = self._settings.control.data_folder
        try:
            files = self._files or Files(directory=directory)
            self._storage = Storage(files=files)
            return self._storage.open(
                name=self._settings.host.name,
                new_disk_id=new_disk_id,
                creates_with=self._creates_with(),
            )
        except OSError as error:
            raise DiskFailedError(
                file=directory,
                offset=0,
                text=f"the folder cannot be used: {error.strerror}",
                remedy="Check control.data_folder, its permissions and disk",
            ) from error

    def _build_components(self, recovered):
        host = self._settings.host
        control = self._settings.control
        self._own = Member(
            name=host.name,
            disk_id=recovered.identity.disk_id,
            address=host.address,
            peer_port=host.peer_port,
        )
        timing = Timing(
            election_timeout=control.election_timeout_ms
            / MILLISECONDS_PER_SECOND,
            heartbeat=control.heartbeat_ms / MILLISECONDS_PER_SECOND,
            wanted_voters=(
                2 * control.tolerated_losses + 1
                if control.tolerated_losses
                else 0
            ),
            voter_timeout=control.voter_patience_ms / MILLISECONDS_PER_SECOND,
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
            snapshot_every_entries=control.snapshot_every_entries,
        )
        if recovered.snapshot_data is not None:
            self._driver.restore(recovered.snapshot_data)
        self._requests = Requests(
            driver=self._driver, send=self._links.send, own_id=self._own.id
        )
        self._bootstrap = self._make_bootstrap(recovered.identity)

    def _make_bootstrap(self, identity):
        """Return the Bootstrap of this disk."""
        permitted_names = self._creates_with() or identity.creates_with
        if permitted_names:
            return Bootstrap(own=self._own, voter_names=permitted_names)
        control = self._settings.control
        return Bootstrap(
            own=self._own,
            voter_names=(),
            unpermitted=Unpermitted(
                voter_names=tuple(control.voters_by_name),
                tolerated_losses=control.tolerated_losses,
                decides_from=time.monotonic() + UNPERMITTED_WAIT_SECONDS,
            ),
        )

    def _creates_with(self):
        """Return the names of the voters in the settings, if permitted."""
        control = self._settings.control
        return tuple(
            control.voters_by_name if control.may_create_cluster else ()
        )

    def _make_hello(self):
        first_voters = self._identity.first_voters
        if not self._identity.cluster_id:
            first_voters = tuple(
                Member(name=name, disk_id="", address="", peer_port=0)
                for name in sorted(self._bootstrap.voter_names)
            )
        return Hello(
            member=self._own,
            cluster_id=self._identity.cluster_id,
            first_voters=first_voters,
        )

    def _apply_decision(self, decision):
        match decision:
            case Create(first_voters=voters):
                if not self._identity.cluster_id:
                    cluster_id = secrets.token_hex(RANDOM_ID_BYTES)
                    self._enter_cluster(
                        cluster_id, voters, events.CLUSTER_CREATED
                    )
            case Join(cluster_id=cluster_id, first_voters=voters):
                self._enter_cluster(cluster_id, voters, events.CLUSTER_JOINED)

    def _enter_cluster(self, cluster_id, voters, event):
        """Store and sync that this replica belongs to a cluster.

        If the disk refuses it, the replica enters later.
        """
        if self._identity.cluster_id:
            return
        identity = attrs.evolve(
            self._identity, cluster_id=cluster_id, first_voters=voters
        )
        try:
            self._storage.save_identity(identity)
        except DiskFailedError as error:
            if self._postponed_entry is None:
                emit(events.REPLICA_SUSPENDED, error=str(error))
            self._postponed_entry = (cluster_id, voters, event)
            return
        self._postponed_entry = None
        self._identity = identity
        self._driver.core.log.set_first_voters(Configuration(voters=voters))
        emit(event, cluster=cluster_id, own=self._own.id)

    def _dial_forever(self):
        """Keep links to all voters; without a leader, to all control hosts."""
        control = self._settings.control
        leaderless_seconds = 0.0
        while True:
            if self._postponed_entry is not None:
                self._enter_cluster(*self._postponed_entry)
            core = self._driver.core
            leaderless_seconds += DIAL_INTERVAL_SECONDS
            if core.leader_id:
                leaderless_seconds = 0.0
            peers_by_name = dict(control.voters_by_name)
            peers_by_name.update(self._added_peers_by_name)
            if leaderless_seconds > MAX_LEADERLESS_SECONDS:
                peers_by_name.update(control.control_hosts_by_name)
            for name, peer in peers_by_name.items():
                self._links.ensure(
                    name=name, address=peer.address, port=peer.peer_port
                )
            for voter in core.log.configuration.voters:
                self._dial(voter)
            eventlet.sleep(DIAL_INTERVAL_SECONDS)

    def _dial(self, member):
        """Dial a member at its address in the settings, else in `member`."""
        control = self._settings.control
        endpoint = control.voters_by_name.get(
            member.name
        ) or control.control_hosts_by_name.get(member.name, member)
        self._links.ensure(
            name=member.name,
            address=endpoint.address,
            port=endpoint.peer_port,
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

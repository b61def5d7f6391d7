"""Keep the crash tables of connected hosts in step."""

import contextlib
import time

from verbenanotch.crashes import events
from verbenanotch.crashes._messages import CrashDigest, CrashRecords
from verbenanotch.telemetry import emit, metrics
from verbenanotch.wire import send_in_background


class CrashExchange:
    """The links of one host over which crash records are passed on.

    A link is a Connection. New records go to all links but the one that they
    came from; on a new link, tables that differ are exchanged in full. The
    links between control hosts and from proxies to control hosts reach all
    hosts. Records may arrive in any order and more than once.
    """

    def __init__(
        self,
        *,
        table,
        forwards=True,
        on_new=lambda records: None,
        monotonic=time.monotonic,
    ):
        """Exchange the records of `table`, a CrashTable.

        Without `forwards`, records that arrive on a link are not sent to the
        others. `on_new` is called with records that arrived and were new.
        """
        self.table = table
        self._storage = None
        self._forwards = forwards
        self._on_new = on_new
        self._monotonic = monotonic
        self._links = []

    def use_storage(self, storage):
        """Merge the records in a CrashStorage and store new ones there."""
        self._storage = storage
        self.table.merge(storage.load(), self._monotonic())

    def stop(self):
        """Wait until all records are stored."""
        if self._storage is not None:
            self._storage.flush()

    def connect(self, link):
        """Add a link and compare the tables at both of its ends."""
        self._links.append(link)
        send_in_background(link, CrashDigest(digest=self.table.digest))

    def disconnect(self, link):
        """Remove a link, if it is one."""
        with contextlib.suppress(ValueError):
            self._links.remove(link)

    def receive(self, link, message):
        """Handle a CrashDigest or CrashRecords from a link."""
        match message:
            case CrashDigest(digest=digest):
                if digest != self.table.digest:
                    records = self.table.records(self._monotonic())
                    send_in_background(link, CrashRecords(records=records))
            case CrashRecords(records=records):
                self.merge(records, source=link)

    def merge(self, records, *, source=None):
        """Merge records that another host has sent; return those new here."""
        new = self.table.merge(records, self._monotonic())
        if not new:
            return ()
        metrics.increment("crashes.records_received", len(new))
        emit(
            events.RECORDS_RECEIVED,
            peer="" if source is None else source.peer_name,
            records=len(new),
            table=len(self.table),
        )
        self._store(new)
        self._on_new(new)
        if self._forwards:
            self._send_to_links(new, source)
        return new

    def publish(self, records):
        """Store records of this host and send them on all links."""
        self._store(records)
        self._send_to_links(records, None)

    def _store(self, records):
        if self._storage is not None:
            self._storage.append(
                records,
                all_records=lambda: self.table.records(self._monotonic()),
            )

    def _send_to_links(self, records, source):
        message = CrashRecords(records=tuple(records))
        for link in self._links:
            if link is not source:
                send_in_background(link, message)

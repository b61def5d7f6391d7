"""The proxy: callers, other proxies, its own targets, control hosts."""

import time

import eventlet

from verbenanotch.daemon._http import HttpServer
from verbenanotch.distribution import SnapshotHolder, Subscriber
from verbenanotch.proxy import (
    Dispatcher,
    EntryInterface,
    LocalTargets,
    PeerPool,
    PeerServer,
    TargetInterface,
)
from verbenanotch.wire import Listener, Purpose

EXPIRY_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1000


class ProxyHost:
    """All parts of a proxy."""

    def __init__(self, *, settings):
        """Bind every address."""
        host = settings.host
        proxy = settings.proxy
        self._holder = SnapshotHolder()
        self._local_targets = LocalTargets(
            settings=settings,
            incarnation=int(time.time() * MILLISECONDS_PER_SECOND),
            on_change=self._announce,
        )
        self._subscriber = Subscriber(
            settings=settings,
            holder=self._holder,
            announcement=self._local_targets.announcement,
            on_drain=self._local_targets.drain,
        )
        dispatcher = Dispatcher(
            settings=settings,
            holder=self._holder,
            local_targets=self._local_targets,
            peers=PeerPool(settings=settings),
        )
        entry = EntryInterface(
            settings=settings, holder=self._holder, dispatcher=dispatcher
        )
        self._listener = Listener(
            address=host.address,
            port=host.peer_port,
            key=host.peer_key.encode(),
            name=host.name,
            handlers_by_purpose={
                Purpose.REQUEST: PeerServer(
                    local_targets=self._local_targets
                ).handle
            },
        )
        self._caller_http = HttpServer(
            address=host.address,
            port=proxy.caller_port,
            application=entry.application,
        )
        self._target_http = HttpServer(
            address=host.address,
            port=proxy.target_port,
            application=TargetInterface(
                local_targets=self._local_targets
            ).application,
        )
        self._expirer = None

    def start(self):
        """Start serving."""
        self._listener.start()
        self._subscriber.start()
        self._target_http.start()
        self._caller_http.start()
        self._expirer = eventlet.spawn(self._expire_forever)

    def stop(self):
        """Give up the lease and stop serving."""
        self._subscriber.release()
        self._caller_http.stop()
        self._target_http.stop()
        self._subscriber.stop()
        self._listener.stop()
        self._expirer.kill()

    def _announce(self):
        self._subscriber.announce()

    def _expire_forever(self):
        while True:
            eventlet.sleep(EXPIRY_SECONDS)
            self._local_targets.expire()

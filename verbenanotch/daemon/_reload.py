"""Apply changed settings while the daemon runs."""

import signal

import attrs
import eventlet
from eventlet import hubs, semaphore

from verbenanotch import loop
from verbenanotch.daemon import events
from verbenanotch.documents import Invalid, Valid
from verbenanotch.telemetry import emit

# A changed settings file is applied within this time without a signal.
CHECK_INTERVAL_SECONDS = 1.0


class SettingsWatcher:
    """Reload the settings and apply valid changes to the role.

    `reload` returns Valid with the Settings, or Invalid.
    """

    def __init__(self, *, role, reload, settings):
        """Start with the active settings."""
        self._role = role
        self._reload = reload
        self._settings = settings
        self._problems = ()
        # Other greenthreads may run while a change is applied.
        self._turn = semaphore.Semaphore()

    def check(self):
        """Reload the settings once; keep the active ones if they are invalid.

        The same problems are logged only once. A check waits for another one.
        """
        with self._turn:
            self._check()

    def _check(self):
        match self._reload():
            case Valid(value=settings):
                self._problems = ()
                if settings != self._settings:
                    self._apply(settings)
            case Invalid(problems=problems):
                if problems != self._problems:
                    emit(
                        events.RELOAD_REFUSED,
                        problems=[str(problem) for problem in problems],
                    )
                self._problems = problems

    def _apply(self, settings):
        changed_sections = [
            field.name
            for field in attrs.fields(type(settings))
            if getattr(settings, field.name)
            != getattr(self._settings, field.name)
        ]
        self._role.reconfigure(settings)
        self._settings = settings
        emit(events.RELOADED, sections=changed_sections)


def watch_settings(*, role, reload, settings):
    """Reload the settings on SIGHUP and every CHECK_INTERVAL_SECONDS."""
    watcher = SettingsWatcher(role=role, reload=reload, settings=settings)

    def on_signal(number, frame):
        hubs.get_hub().schedule_call_global(0, eventlet.spawn_n, watcher.check)

    signal.signal(signal.SIGHUP, on_signal)
    loop.spawn_lasting(_check_forever, watcher)


def _check_forever(watcher):
    while True:
        eventlet.sleep(CHECK_INTERVAL_SECONDS)
        watcher.check()

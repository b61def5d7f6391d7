"""The calls of this proxy, as they count for rollouts."""

from verbenanotch.proxy._outcome import (
    FIRST_SERVER_ERROR_STATUS,
    Answered,
    NotRun,
)


class VersionCalls:
    """Count each call where its service's versions are told apart.

    Costs nothing but two checks while no service is rolled out.
    """

    def __init__(self, *, groups, counter=None):
        """Count for the VersionGroups and for the OutcomeCounter, if any."""
        self._groups = groups
        self._counter = counter

    def record_start(self, call):
        """Count a Call that is sent now; return what `record_end` needs."""
        return self._groups.record_start(call)

    def record_end(
        self, metered, record, request, outcome, *, cancelled, started, now
    ):
        """Count the end of a call to the target of a TargetRecord.

        `metered` is the result of `record_start`. Times are in monotonic
        seconds.
        """
        if metered is not None:
            self._groups.record_end(record.service, metered, outcome)
        counter = self._counter
        if counter is None or not counter.is_watched(record.service, now):
            return
        if isinstance(outcome, NotRun):
            return
        answered = isinstance(outcome, Answered)
        counter.record(
            record.service,
            request.route_name,
            self._groups.software_version(record),
            seconds=now - started,
            objective_seconds=request.objective_seconds,
            answered=answered,
            failed=(
                not answered or outcome.status >= FIRST_SERVER_ERROR_STATUS
            ),
            cancelled=cancelled and not answered,
            now=now,
        )


class OutcomeReporter:
    """Sends what an OutcomeCounter has counted to the leader of the log."""

    def __init__(self, *, counter, send, proxy_incarnation, monotonic):
        """Send messages by `send(message)`, which returns whether it could.

        `proxy_incarnation` is another number after each start of the proxy,
        `monotonic()` returns the time in seconds.
        """
        self._counter = counter
        self._send = send
        self._proxy_incarnation = proxy_incarnation
        self._monotonic = monotonic

    def watch(self, message):
        """Follow a RolloutsWatched of the leader."""
        self._counter.watch(message.services, self._monotonic())

    def report(self):
        """Send the totals of each watched service that have changed."""
        for service in self._counter.changes(self._monotonic()):
            message = self._counter.message(
                service, proxy_incarnation=self._proxy_incarnation
            )
            if self._send(message):
                self._counter.record_sent(service)

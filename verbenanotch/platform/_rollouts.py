"""HTTP interface for the platform's orders of rollouts."""

from verbenanotch.platform._fields import get_field, load_checked_object
from verbenanotch.platform._operator import (
    OPERATOR,
    READ_TIMEOUT_SECONDS,
    SUBMIT_TIMEOUT_SECONDS,
)
from verbenanotch.platform._responses import read_body, respond_json
from verbenanotch.platform.exceptions import MalformedDocumentError
from verbenanotch.rollouts.control import Ordered, Phase, Refused

ROLLOUTS_PATH = "/rollouts"
MAX_BODY_BYTES = 64 * 1024
STATES_BY_PHASE = {
    Phase.RUNNING: "running",
    Phase.SHIFTING: "running",
    Phase.COMPLETED: "completed",
    Phase.ROLLED_BACK: "rolled_back",
}


class RolloutInterface:
    """WSGI application that accepts orders of rollouts and shows them."""

    def __init__(self, *, rollouts):
        """Store the RolloutService to order from and to read from."""
        self._rollouts = rollouts

    def application(self, environ, start_response):
        """Handle one request as a WSGI callable."""
        path = environ["PATH_INFO"].removeprefix(ROLLOUTS_PATH)
        match environ["REQUEST_METHOD"], path[:1]:
            case "POST", "":
                return self._post(environ, start_response)
            case "GET", "/":
                return self._get(start_response, path[1:])
            case _, "" | "/":
                return respond_json(
                    start_response,
                    405,
                    reason="use POST, or GET with a service",
                )
        return respond_json(start_response, 404, reason="no such path")

    def _post(self, environ, start_response):
        try:
            values = load_checked_object(
                read_body(environ, max_bytes=MAX_BODY_BYTES)
            )
            service = get_field(values, "Service", str)
            candidate = get_field(values, "TargetVersion", str)
            seconds = get_field(values, "FinishByS", int, float)
        except MalformedDocumentError as error:
            return respond_json(start_response, 400, reason=str(error))
        outcome = self._rollouts.order(
            service=service,
            candidate=candidate,
            finish_by_seconds=seconds,
            operator=OPERATOR,
            timeout_seconds=SUBMIT_TIMEOUT_SECONDS,
        )
        match outcome:
            case Ordered(rollout=rollout):
                return _respond_state(start_response, rollout)
            case Refused(reason=reason, remedy=remedy):
                return respond_json(
                    start_response, 400, reason=reason, remedy=remedy
                )
        return respond_json(start_response, 503, reason=outcome.reason)

    def _get(self, start_response, service):
        if not self._rollouts.is_current(timeout_seconds=READ_TIMEOUT_SECONDS):
            return respond_json(
                start_response, 503, reason="no quorum confirmed the state"
            )
        rollout = self._rollouts.last(service)
        if rollout is None:
            return respond_json(
                start_response,
                404,
                reason=f"service {service!r} has no rollout",
            )
        return _respond_state(start_response, rollout)


def _respond_state(start_response, rollout):
    return respond_json(
        start_response,
        200,
        State=STATES_BY_PHASE[rollout.phase],
        TargetVersion=rollout.candidate,
    )

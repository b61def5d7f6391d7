"""Resources of the operator interface for rollouts."""

import attrs

from verbenanotch.catalog import Unavailable
from verbenanotch.operator._responses import (
    RETRY_AFTER_SECONDS,
    Response,
    failure_value,
)
from verbenanotch.operator.exceptions import (
    InvalidRequestError,
    NotCurrentError,
    NotFoundError,
)
from verbenanotch.rollouts.control import Ordered, Refused


class RolloutResources:
    """Order, abort and show rollouts.

    `handlers` has a pattern of the path and the functions by method.
    """

    def __init__(self, rollouts):
        """Store the RolloutService."""
        self._rollouts = rollouts
        self.handlers = (
            (r"/v1/rollouts", {"POST": self._order}),
            (r"/v1/rollouts/([^/]+)", {"GET": self._show}),
            (r"/v1/rollouts/([^/]+)/history", {"GET": self._list}),
            (r"/v1/rollouts/([^/]+)/abort", {"POST": self._abort}),
        )

    def _order(self, request):
        values = request.json_body()
        seconds = values.get("finish_by_seconds")
        if type(seconds) not in (int, float):
            raise InvalidRequestError(
                "finish_by_seconds is not a number",
                remedy="Send the seconds in which to finish the rollout.",
            )
        outcome = self._rollouts.order(
            service=_text(values, "service"),
            candidate=_text(values, "version"),
            finish_by_seconds=seconds,
            operator=request.header("X-Operator"),
            timeout_seconds=request.timeout_seconds(),
        )
        return _outcome_response(outcome)

    def _abort(self, request, service):
        outcome = self._rollouts.abort(
            service=service,
            candidate=_text(request.json_body(), "version"),
            operator=request.header("X-Operator"),
            timeout_seconds=request.timeout_seconds(),
        )
        return _outcome_response(outcome)

    def _show(self, request, service):
        self._check_current(request)
        rollout = self._rollouts.last(service)
        if rollout is None:
            raise NotFoundError(
                f"service {service!r} has no rollout",
                remedy="Check the name of the service.",
            )
        return Response(status=200, value=_to_value(rollout))

    def _list(self, request, service):
        self._check_current(request)
        rollouts = [_to_value(it) for it in self._rollouts.history(service)]
        return Response(status=200, value={"rollouts": rollouts})

    def _check_current(self, request):
        if not self._rollouts.is_current(
            timeout_seconds=request.timeout_seconds()
        ):
            raise NotCurrentError(
                "no quorum confirmed that this host has every step",
                remedy="Retry, or ask another control host.",
            )


def _text(values, name):
    value = values.get(name)
    if not isinstance(value, str) or not value:
        raise InvalidRequestError(
            f"{name} is not a text", remedy=f"Send the {name} as a text."
        )
    return value


def _to_value(rollout):
    return attrs.asdict(rollout, recurse=False)


def _outcome_response(outcome):
    match outcome:
        case Ordered(rollout=rollout, is_new=is_new):
            kind = "ordered" if is_new else "repeated"
            return Response(
                status=200, value={"kind": kind, **_to_value(rollout)}
            )
        case Refused(reason=reason, remedy=remedy):
            return Response(
                status=400, value=failure_value("refused", reason, remedy)
            )
        case Unavailable(reason=reason, remedy=remedy):
            return Response(
                status=503,
                value=failure_value("unavailable", reason, remedy),
                headers=(("Retry-After", str(RETRY_AFTER_SECONDS)),),
            )
    return Response(
        status=504,
        value=failure_value("unknown", outcome.reason, outcome.remedy),
    )

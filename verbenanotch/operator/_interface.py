"""WSGI application through which operators use a control host.

All paths start with `/v1/`. Every body is JSON except that of a submission,
which is the text of a mesh file. Each failure has a `kind` and a `remedy`.
"""

import re

from verbenanotch.documents import value_problems
from verbenanotch.operator import events
from verbenanotch.operator._requests import (
    ClosingBody,
    Request,
    parse_version,
)
from verbenanotch.operator._responses import (
    RETRY_AFTER_SECONDS,
    Response,
    error_response,
    outcome_response,
    to_json,
    voters_response,
)
from verbenanotch.operator._rollouts import RolloutResources
from verbenanotch.operator.exceptions import (
    InvalidRequestError,
    MethodNotAllowedError,
    NotCurrentError,
    NotFoundError,
    OperatorError,
)
from verbenanotch.telemetry import emit, metrics

JSON_CONTENT_TYPE = "application/json; charset=utf-8"


class OperatorInterface:
    """Handle operators' requests.

    `versions` is the VersionService, which processes submissions, rollbacks
    and changes of voters, and lists the history of versions. `control` is
    the ControlHost, which reports its replica's state, the proxies of its
    availability zone, all zones and all known targets, and drains targets.
    `token` is a secret shared with the operators. `rollouts` is the
    RolloutService; without it, there are no resources of rollouts.
    """

    def __init__(self, *, token, versions, control, rollouts=None):
        """Store the collaborators without opening a socket."""
        self._token = token
        self._versions = versions
        self._control = control
        self._handlers_by_resource = (
            (r"/v1/submissions", {"POST": self._submit}),
            (r"/v1/rollbacks", {"POST": self._roll_back}),
            (r"/v1/versions", {"GET": self._list_versions}),
            (r"/v1/versions/([^/]+)", {"GET": self._show_version}),
            (r"/v1/voters", {"POST": self._change_voters}),
            (r"/v1/status", {"GET": self._show_status}),
            (r"/v1/targets", {"GET": self._list_targets}),
            (r"/v1/targets/(.+)/drain", {"POST": self._drain}),
            (r"/v1/metrics", {"GET": self._show_metrics}),
            (r"/v1/ready", {"GET": self._show_ready}),
            *(RolloutResources(rollouts).handlers if rollouts else ()),
        )

    def application(self, environ, start_response):
        """Handle one request as a WSGI callable."""
        request = Request(environ=environ)
        response = self._respond(request)
        body = response.encode()
        headers = [
            ("Content-Type", JSON_CONTENT_TYPE),
            ("Content-Length", str(len(body))),
            *response.headers,
        ]
        start_response(response.status_line, headers)
        if request.has_oversized_body:
            return ClosingBody(environ=environ, chunks=(body,))
        return [body]

    def _respond(self, request):
        try:
            handler, arguments = self._resolve(request)
            if request.path != "/v1/ready":
                request.check_token(self._token)
            return handler(request, *arguments)
        except OperatorError as error:
            metrics.increment(f"operator.refused.{error.kind}")
            emit(
                events.REQUEST_REFUSED,
                path=request.path,
                kind=error.kind,
                error=str(error),
            )
            return error_response(error)
        except Exception as error:
            metrics.increment("operator.failed")
            emit(events.REQUEST_FAILED, path=request.path, error=repr(error))
            return _internal_error_response()

    def _resolve(self, request):
        for pattern, handlers_by_method in self._handlers_by_resource:
            path_match = re.fullmatch(pattern, request.path)
            if path_match is None:
                continue
            handler = handlers_by_method.get(request.method)
            if handler is None:
                raise MethodNotAllowedError(
                    f"{request.method} is not allowed for this resource",
                    remedy=f"Use {', '.join(handlers_by_method)}.",
                )
            return handler, path_match.groups()
        raise NotFoundError(
            f"there is no resource {request.path!r}",
            remedy="See the reference of the operator interface.",
        )

    def _submit(self, request):
        submission = request.submission(text=request.body())
        outcome = self._versions.submit(
            submission=submission, timeout_seconds=request.timeout_seconds()
        )
        return _submission_response(outcome, submission)

    def _roll_back(self, request):
        rollback_to = parse_version(str(request.json_body().get("to", "")))
        submission = request.submission(text=b"", rollback_to=rollback_to)
        outcome = self._versions.rollback(
            submission_id=submission.submission_id,
            operator=submission.operator,
            base=submission.base,
            to=rollback_to,
            submitted_at_ms=submission.submitted_at_ms,
            timeout_seconds=request.timeout_seconds(),
        )
        return _submission_response(outcome, submission)

    def _change_voters(self, request):
        operator = request.header("X-Operator")
        names = request.json_body()
        add, remove = names.get("add", ""), names.get("remove", "")
        for problem in value_problems({"add": add, "remove": remove}):
            raise InvalidRequestError(
                f"{problem.key}: {problem.text}", remedy=problem.remedy
            )
        names_one_host = bool(add) != bool(remove)
        if not (names_one_host and isinstance(add or remove, str)):
            raise InvalidRequestError(
                "the body must name exactly one voter",
                remedy="Send the name of one host as either add or remove.",
            )
        outcome = self._versions.change_voters(
            add=add,
            remove=remove,
            timeout_seconds=request.timeout_seconds(),
        )
        response = voters_response(outcome)
        emit(
            events.VOTER_CHANGE_REQUESTED,
            add=add,
            remove=remove,
            operator=operator,
            kind=response.value["kind"],
        )
        return response

    def _list_versions(self, request):
        entries = [_summary(record) for record in self._history(request)]
        return Response(status=200, value={"versions": entries})

    def _show_version(self, request, text):
        version = parse_version(text)
        for record in self._history(request):
            if record.version == version:
                value = _summary(record) | {"text": to_json(record.text)}
                return Response(status=200, value=value)
        raise NotFoundError(
            f"version {version} is not known here",
            remedy="List the versions; the history drops old ones.",
        )

    def _history(self, request):
        """Return all versions, or with `local=1` those stored on this host.

        Raises NotCurrentError if no quorum confirms that this host has every
        accepted version; `local=1` skips that check.
        """
        is_local = request.query().get("local") == "1"
        if not is_local and not self._versions.is_current(
            timeout_seconds=request.timeout_seconds()
        ):
            raise NotCurrentError(
                "no quorum confirmed that this host has every version",
                remedy="Retry, or use local=1 to read this host's history.",
            )
        return self._versions.history()

    def _show_status(self, request):
        return Response(status=200, value=self._control.status())

    def _list_targets(self, request):
        targets = self._control.targets()
        return Response(status=200, value={"targets": targets})

    def _drain(self, request, target_id):
        emit(events.DRAIN_REQUESTED, target=target_id)
        if self._control.drain(target_id) is False:
            raise NotFoundError(
                f"target {target_id!r} is not known here",
                remedy="Ask a control host of the target's zone.",
            )
        return Response(
            status=202, value={"kind": "draining", "target": target_id}
        )

    def _show_metrics(self, request):
        return Response(
            status=200,
            value={
                "counters": dict(metrics.totals_by_name),
                "gauges": dict(metrics.gauges_by_name),
            },
        )

    def _show_ready(self, request):
        if self._control.ready():
            return Response(status=200, value={"kind": "ready"})
        return Response(
            status=503,
            value={
                "kind": "not-ready",
                "reason": "this control host knows no leader",
                "remedy": "Retry; if this persists, check the quorum.",
            },
            headers=(("Retry-After", str(RETRY_AFTER_SECONDS)),),
        )


def _submission_response(outcome, submission):
    """Return the Response for an outcome, and count and log it."""
    response = outcome_response(outcome)
    kind = response.value["kind"]
    metrics.increment(f"operator.submissions.{kind}")
    emit(
        events.SUBMISSION_ANSWERED,
        kind=kind,
        submission=submission.submission_id,
        operator=submission.operator,
        version=str(response.value.get("version", "")),
    )
    return response


def _summary(record):
    """Return the JSON value of a version without its text."""
    return {
        "version": record.version,
        "operator": record.operator,
        "submission_id": record.submission_id,
        "submitted_at_ms": record.submitted_at_ms,
        "mesh": getattr(record.mesh, "name", record.mesh),
    }


def _internal_error_response():
    return Response(
        status=500,
        value={
            "kind": "internal-error",
            "reason": "the request failed; its effect is unknown",
            "remedy": "Send it again with the same submission id.",
        },
    )

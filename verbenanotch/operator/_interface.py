"""HTTP interface of a control host for operators.

Served under `/v1/` as a WSGI application; every body is JSON, but for the
TOML text of a submission. Each failure has a `kind` and a `remedy`.
"""

import re

from verbenanotch.operator import events
from verbenanotch.operator._answers import (
    RETRY_AFTER_SECONDS,
    Answer,
    answer_error,
    answer_outcome,
    answer_voters,
    to_json,
)
from verbenanotch.operator._requests import (
    ClosingBody,
    Request,
    parse_version,
)
from verbenanotch.operator.exceptions import (
    InvalidRequestError,
    MethodNotAllowedError,
    NotCurrentError,
    NotFoundError,
    OperatorError,
)
from verbenanotch.telemetry import emit, metrics

JSON_TYPE = "application/json; charset=utf-8"


class OperatorInterface:
    """Answer operators' requests by the replicated log and the zone.

    `versions` takes submissions and rollbacks and lists the history.
    `control` tells the state of this control host, its availability zone's
    proxies and targets, and drains a target. The token is a shared secret.
    """

    def __init__(self, *, token, versions, control):
        """Take the collaborators; opens no socket."""
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
        )

    def application(self, environ, start_response):
        """Answer one request; a WSGI callable."""
        request = Request(environ=environ)
        answer = self._answer(request)
        body = answer.encode()
        headers = [
            ("Content-Type", JSON_TYPE),
            ("Content-Length", str(len(body))),
            *answer.headers,
        ]
        start_response(answer.status_line, headers)
        if request.has_oversized_body:
            return ClosingBody(environ=environ, chunks=(body,))
        return [body]

    def _answer(self, request):
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
            return answer_error(error)
        except Exception as error:
            metrics.increment("operator.failed")
            emit(events.REQUEST_FAILED, path=request.path, error=repr(error))
            return _internal_error()

    def _resolve(self, request):
        for pattern, handlers_by_method in self._handlers_by_resource:
            found = re.fullmatch(pattern, request.path)
            if found is None:
                continue
            handler = handlers_by_method.get(request.method)
            if handler is None:
                raise MethodNotAllowedError(
                    f"{request.method} is not allowed here",
                    remedy=f"Use {', '.join(handlers_by_method)}.",
                )
            return handler, found.groups()
        raise NotFoundError(
            f"there is no resource {request.path!r}",
            remedy="See the reference of the operators' interface.",
        )

    def _submit(self, request):
        submission = request.submission(text=request.body())
        outcome = self._versions.submit(
            submission=submission, timeout_seconds=request.timeout_seconds()
        )
        return _answer_submission(outcome, submission)

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
        return _answer_submission(outcome, submission)

    def _change_voters(self, request):
        operator = request.header("X-Operator")
        names = request.json_body()
        add, remove = names.get("add", ""), names.get("remove", "")
        is_one = bool(add) != bool(remove)
        if not (is_one and isinstance(add or remove, str)):
            raise InvalidRequestError(
                "the body names no voter, or more than one",
                remedy="Send the name of one host as add or as remove.",
            )
        outcome = self._versions.change_voters(
            add=add,
            remove=remove,
            timeout_seconds=request.timeout_seconds(),
        )
        answer = answer_voters(outcome)
        emit(
            events.VOTERS_ASKED,
            add=add,
            remove=remove,
            operator=operator,
            kind=answer.value["kind"],
        )
        return answer

    def _list_versions(self, request):
        entries = [_summary(record) for record in self._history(request)]
        return Answer(status=200, value={"versions": entries})

    def _show_version(self, request, text):
        version = parse_version(text)
        for record in self._history(request):
            if record.version == version:
                value = _summary(record) | {"text": to_json(record.text)}
                return Answer(status=200, value=value)
        raise NotFoundError(
            f"version {version} is not known here",
            remedy="List the versions; old ones are dropped by snapshots.",
        )

    def _history(self, request):
        """Return all versions, or with `local=1` those that are held here.

        Without a quorum a version that others accepted could be missing.
        """
        is_local = request.query().get("local") == "1"
        if not is_local and not self._versions.is_current(
            timeout_seconds=request.timeout_seconds()
        ):
            raise NotCurrentError(
                "no quorum confirmed that this host holds every version",
                remedy="Ask again, or ask with local=1 for what it holds.",
            )
        return self._versions.history()

    def _show_status(self, request):
        return Answer(status=200, value=self._control.status())

    def _list_targets(self, request):
        targets = self._control.targets()
        return Answer(status=200, value={"targets": targets})

    def _drain(self, request, target_id):
        emit(events.DRAIN_ASKED, target=target_id)
        if self._control.drain(target_id) is False:
            raise NotFoundError(
                f"target {target_id!r} is not known here",
                remedy="Ask a control host of the target's zone.",
            )
        return Answer(
            status=202, value={"kind": "draining", "target": target_id}
        )

    def _show_metrics(self, request):
        return Answer(
            status=200,
            value={
                "counters": dict(metrics.totals_by_name),
                "gauges": dict(metrics.gauges_by_name),
            },
        )

    def _show_ready(self, request):
        if self._control.ready():
            return Answer(status=200, value={"kind": "ready"})
        return Answer(
            status=503,
            value={
                "kind": "not-ready",
                "reason": "this control host has no committed state yet",
                "remedy": "Ask again; if it lasts, check the quorum.",
            },
            headers=(("Retry-After", str(RETRY_AFTER_SECONDS)),),
        )


def _answer_submission(outcome, submission):
    answer = answer_outcome(outcome)
    kind = answer.value["kind"]
    metrics.increment(f"operator.submissions.{kind}")
    emit(
        events.SUBMISSION_ANSWERED,
        kind=kind,
        submission=submission.submission_id,
        operator=submission.operator,
        version=str(answer.value.get("version", "")),
    )
    return answer


def _summary(record):
    """Return a version's record without its text."""
    return {
        "version": record.version,
        "operator": record.operator,
        "submission_id": record.submission_id,
        "submitted_at_ms": record.submitted_at_ms,
        "mesh": getattr(record.mesh, "name", record.mesh),
    }


def _internal_error():
    return Answer(
        status=500,
        value={
            "kind": "internal-error",
            "reason": "the request failed; its effect is unknown",
            "remedy": "Send it again with the same submission id.",
        },
    )

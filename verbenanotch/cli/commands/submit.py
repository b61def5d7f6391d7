"""Submit a mesh file as a new version."""

import functools
import pathlib
import sys
import uuid

import click

from verbenanotch.catalog import NO_VERSION, Version
from verbenanotch.cli import _options, _status
from verbenanotch.cli.exceptions import (
    InvalidInputError,
    ToolError,
    UnknownOutcomeError,
)

DEFAULT_WAIT_SECONDS = 30.0
_SUBMISSION_OPTIONS = (
    click.option(
        "--submission-id",
        default="",
        help="Id of an earlier attempt to send again; generated if absent.",
    ),
    click.option(
        "--wait", is_flag=True, help="Wait until the version is in force."
    ),
    click.option(
        "--timeout",
        default=DEFAULT_WAIT_SECONDS,
        help="Seconds to wait for the version to be in force.",
    ),
)


def submit_file(client, *, text, submission_id, operator, base, **options):
    """Return the Reply to one submission.

    `text` is the file's bytes; `options` are passed to `client.request`.
    """
    return client.request(
        "POST",
        "/v1/submissions",
        headers=submission_headers(
            submission_id=submission_id, operator=operator, base=base
        ),
        body=text,
        **options,
    )


def submission_headers(*, submission_id, operator, base):
    """Return the headers that identify a submission."""
    return {
        "X-Submission-Id": submission_id,
        "X-Operator": operator,
        "X-Base-Version": str(base),
        "Content-Type": "application/toml",
    }


def parse_version(text):
    """Parse a version such as `3.41`, or raise InvalidInputError."""
    try:
        return Version.parse(text)
    except ValueError as error:
        raise InvalidInputError(
            f"{text!r} is not a version; use a form such as 3.41"
        ) from error


def read_file(path):
    """Return a file's bytes, or raise InvalidInputError."""
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise InvalidInputError(
            f"cannot read {path}: {error.strerror}; give a readable file"
        ) from error


def run_submission(send, *, submission_id, **finish_options):
    """Send a submission, print its outcome and exit.

    `send` is called with the `submission_id`, which is generated if empty,
    and returns the Reply. `finish_options` are the other arguments of
    `finish_submission`.
    """
    submission_id = submission_id or uuid.uuid4().hex
    try:
        reply = send(submission_id=submission_id)
    except UnknownOutcomeError as error:
        raise UnknownOutcomeError(
            f"{error} The submission id is {submission_id}"
        ) from error
    finish_submission(reply, submission_id=submission_id, **finish_options)


def finish_submission(reply, *, submission_id, as_json, client, wait, timeout):
    """Print the outcome of a submission and exit.

    With `wait`, first wait until the accepted version is active; `timeout`
    is in seconds.
    """
    reply.value["submission_id"] = submission_id
    if wait and not reply.exit_code:
        try:
            version = Version.parse(reply.value["version"])
            _status.wait_until_active(client, version, timeout_seconds=timeout)
        except ToolError as error:
            reply.value["in_force"] = False
            reply.value["reason"] = str(error)
            _print_accepted(reply.value, as_json=as_json)
            sys.exit(error.exit_code)
        reply.value["in_force"] = True
    _options.exit_with_reply(
        reply, as_json=as_json, describe=describe_accepted
    )


def describe_accepted(value):
    """Return the text to print about an accepted submission."""
    lines = [
        f"accepted: version {value['version']} "
        f"(submission {value['submission_id']})"
    ]
    if value.get("in_force"):
        lines.append("in force on every proxy")
    if "reason" in value:
        lines.append(value["reason"])
    return "\n".join(lines)


def _print_accepted(value, *, as_json):
    if as_json:
        _options.print_json(value)
    else:
        click.echo(describe_accepted(value))


def submission_options(command):
    """Add the options that all commands with a submission share."""
    for option in reversed(_SUBMISSION_OPTIONS):
        command = option(command)
    return command


@click.command("submit")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--base",
    default=str(NO_VERSION),
    help="Version that the file is based on; not needed for the first.",
)
@submission_options
@_options.json_option
@_options.reports_errors
@_options.server_options
def command(
    settings, client, file, base, submission_id, wait, timeout, as_json
):
    """Submit FILE as a new version.

    Exits with 0 if it was accepted, 1 on a conflict or refusal, 2 if the
    file is invalid, 3 if it was not accepted because there is no quorum, and
    4 if the outcome is unknown; if so, submit FILE again with the printed
    submission id.
    """
    send = functools.partial(
        submit_file,
        client,
        text=read_file(file),
        operator=settings.operator,
        base=parse_version(base),
    )
    run_submission(
        send,
        submission_id=submission_id,
        as_json=as_json,
        client=client,
        wait=wait,
        timeout=timeout,
    )

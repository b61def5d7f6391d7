"""Settings of the command-line tool, from options, environment and file."""

import getpass
import pathlib

import attrs

from verbenanotch.cli.exceptions import InvalidInputError
from verbenanotch.documents import Invalid, Valid, parse


@attrs.frozen(kw_only=True)
class ToolSettings:
    """Settings that the commands share.

    `servers` are the control hosts to query, as `address:port`, `token` is
    the secret of the operator interface, and `operator` the name recorded
    with changes. Options take precedence over the environment, and the
    environment over the file; an empty value falls back to the next source.
    """

    servers: tuple[str, ...] = ()
    token: str = attrs.field(default="", repr=False)
    operator: str = ""


def load_tool_settings(path):
    """Return the settings in a TOML file, or raise InvalidInputError."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise InvalidInputError(
            f"cannot read {path}: {error.strerror}; give a readable file"
        ) from error
    match parse(data, ToolSettings):
        case Valid(value=settings):
            return settings
        case Invalid(problems=problems):
            lines = "\n".join(f"{path}: {problem}" for problem in problems)
            raise InvalidInputError(lines)


def resolve_settings(*, given, path):
    """Return complete settings.

    `given` has the values from the options and the environment. Empty ones
    are taken from the file at `path`, if it isn't empty; the operator
    defaults to the current user. Raises InvalidInputError if the file is
    invalid or the servers or the token are missing.
    """
    settings = load_tool_settings(path) if path else ToolSettings()
    resolved = ToolSettings(
        servers=given.servers or settings.servers,
        token=given.token or settings.token,
        operator=given.operator or settings.operator or getpass.getuser(),
    )
    if not resolved.servers:
        raise InvalidInputError(
            "no control host is given; set --server ADDRESS:PORT"
        )
    if not resolved.token:
        raise InvalidInputError(
            "no token is given; set VERBENANOTCH_TOKEN or --tool-settings"
        )
    return resolved

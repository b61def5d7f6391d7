"""Settings of the command-line tool, from options, environment and file."""

import getpass
import pathlib

import attrs

from verbenanotch.cli.exceptions import FaultyInputError
from verbenanotch.documents import Invalid, Valid, parse


@attrs.frozen(kw_only=True)
class ToolSettings:
    """Control hosts to ask, as `address:port`, the token and the operator.

    An empty value is taken from the next source: options come first, then
    the environment, then the file.
    """

    servers: tuple[str, ...] = ()
    token: str = attrs.field(default="", repr=False)
    operator: str = ""


def load_tool_settings(path):
    """Return the settings in a TOML file; raise FaultyInputError."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise FaultyInputError(
            f"cannot read {path}: {error.strerror}; give a readable file"
        ) from error
    match parse(data, ToolSettings):
        case Valid(value=settings):
            return settings
        case Invalid(problems=problems):
            lines = "\n".join(f"{path}: {problem}" for problem in problems)
            raise FaultyInputError(lines)


def resolve(*, given, path):
    """Return `given` with its empty values filled in from the file."""
    settings = load_tool_settings(path) if path else ToolSettings()
    resolved = ToolSettings(
        servers=given.servers or settings.servers,
        token=given.token or settings.token,
        operator=given.operator or settings.operator or getpass.getuser(),
    )
    if not resolved.servers:
        raise FaultyInputError(
            "no control host is named; give --server ADDRESS:PORT"
        )
    if not resolved.token:
        raise FaultyInputError(
            "no token is given; set VERBENANOTCH_TOKEN or --tool-settings"
        )
    return resolved

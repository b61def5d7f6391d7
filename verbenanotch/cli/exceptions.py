"""Errors of the command-line tool, each with its exit code."""

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_FAULTY = 2
EXIT_UNAVAILABLE = 3
EXIT_UNKNOWN = 4


class ToolError(Exception):
    """Base of all errors of the tool; `kind` names it for machines."""

    kind = "tool"
    exit_code = EXIT_REFUSED


class FaultyInputError(ToolError):
    """A file, an option or a tool setting cannot be used."""

    kind = "faulty-input"
    exit_code = EXIT_FAULTY


class UnavailableError(ToolError):
    """No control host took the request; it had no effect."""

    kind = "unavailable"
    exit_code = EXIT_UNAVAILABLE


class UnknownOutcomeError(ToolError):
    """The request may or may not have had its effect."""

    kind = "unknown"
    exit_code = EXIT_UNKNOWN

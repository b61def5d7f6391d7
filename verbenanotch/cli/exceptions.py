"""Errors of the command-line tool, each with its exit code."""

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_UNAVAILABLE = 3
EXIT_UNKNOWN = 4


class ToolError(Exception):
    """Base class of all errors; `kind` is the machine-readable name."""

    kind = "tool"
    exit_code = EXIT_REFUSED


class InvalidInputError(ToolError):
    """A file, an option or a tool setting is invalid."""

    kind = "faulty-input"
    exit_code = EXIT_INVALID


class UnavailableError(ToolError):
    """No control host executed the request; it had no effect."""

    kind = "unavailable"
    exit_code = EXIT_UNAVAILABLE


class UnknownOutcomeError(ToolError):
    """The request may or may not have been executed."""

    kind = "unknown"
    exit_code = EXIT_UNKNOWN

"""Errors at the start of the daemon."""


class StartError(Exception):
    """A component of the role cannot start; the text names the remedy."""

    kind = "start"

    def __init__(self, *, kind, text):
        """Use the kind and the text of the component's own error."""
        super().__init__(text)
        self.kind = kind


class StopRequested(BaseException):
    """A signal asks a process that waits in its start to stop.

    No handler of errors may take it for one.
    """

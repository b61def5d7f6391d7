"""Tell everyone on the path of a call that its caller has gone."""


class Cancellation:
    """A flag that is set once and runs the action in force then."""

    def __init__(self):
        """Start uncancelled."""
        self.cancelled = False
        self._action = None

    def cancel(self):
        """Set the flag and run the present action, if there is one."""
        if self.cancelled:
            return
        self.cancelled = True
        if self._action is not None:
            self._action()

    def on_cancel(self, action):
        """Replace the action; None takes it away.

        Runs it at once if the flag is set already.
        """
        self._action = action
        if self.cancelled and action is not None:
            action()

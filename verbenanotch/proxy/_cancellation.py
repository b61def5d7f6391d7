"""Cancel or withdraw a request in progress."""


class Cancellation:
    """A flag that is set once and then runs the current action.

    The action aborts the step of the request that is in progress. A request
    can also be withdrawn: that ends it only while it waits, so that it is
    known not to have run. `withdrawn_reason` is empty unless it is withdrawn.
    """

    def __init__(self, *, has_caller_left=lambda: False):
        """Start uncancelled.

        `has_caller_left()` looks at the caller's connection without blocking.
        """
        self.cancelled = False
        self.withdrawn_reason = ""
        self._action = None
        self._withdrawal = None
        self._has_caller_left = has_caller_left

    def check(self):
        """Return whether the request is cancelled or its caller has left.

        The end of a connection can have arrived before the loop reports it.
        """
        if not self.cancelled and self._has_caller_left():
            self.cancel()
        return self.cancelled

    def cancel(self):
        """Set the flag and run the current action, if there is one.

        Does nothing if the flag is already set.
        """
        if self.cancelled:
            return
        self.cancelled = True
        if self._action is not None:
            self._action()

    def on_cancel(self, action):
        """Replace the action; None removes it.

        The new action runs immediately if the flag is already set.
        """
        self._action = action
        if self.cancelled and action is not None:
            action()

    def withdraw(self, reason):
        """Refuse the request with a `reason` if it waits, now or later.

        Does nothing if it is already withdrawn.
        """
        if self.withdrawn_reason:
            return
        self.withdrawn_reason = reason
        if self._withdrawal is not None:
            self._withdrawal()

    def on_withdraw(self, action):
        """Replace the action that ends the current wait; None removes it.

        The new action runs immediately if the request is withdrawn already.
        """
        self._withdrawal = action
        if self.withdrawn_reason and action is not None:
            action()

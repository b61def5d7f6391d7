"""Log lines of accounts, at most one a second for each."""

MIN_INTERVAL_SECONDS = 1.0
# Accounts whose last line is remembered; more would grow without bound.
MAX_ACCOUNTS = 10_000


class LinePace:
    """Admit one log line of an account a second."""

    def __init__(self):
        """Start with no lines."""
        self._last_by_account = {}

    def admit(self, account, now):
        """Return whether a line of the account may be logged now."""
        last = self._last_by_account.get(account)
        if last is not None and now - last < MIN_INTERVAL_SECONDS:
            return False
        if len(self._last_by_account) >= MAX_ACCOUNTS:
            self._last_by_account.clear()
        self._last_by_account[account] = now
        return True

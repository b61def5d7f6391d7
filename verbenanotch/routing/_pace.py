"""How long work takes on a target's machine now, as the target tells."""

USUAL_PACE_PERCENT = 100
# Pace changes many times a second, so that an old one tells little.
PACE_HALF_LIFE_SECONDS = 0.4
# An extreme pace neither attracts all requests nor repels them.
MIN_PACE_PERCENT = 50
MAX_PACE_PERCENT = 1000


def pace_factor(percent, age_seconds):
    """Return by what a pace multiplies the usual service time.

    The factor of a pace that was reported `age_seconds` ago approaches 1.
    """
    bounded = min(MAX_PACE_PERCENT, max(MIN_PACE_PERCENT, percent))
    known_share = 2 ** (-max(0.0, age_seconds) / PACE_HALF_LIFE_SECONDS)
    return 1 + (bounded / USUAL_PACE_PERCENT - 1) * known_share


class PaceMeter:
    """Keep the pace that one target tells in its answers.

    The mean follows the pace with `ewma_weight`, that of the mean service
    time, so that dividing the one by the other gives the service time at the
    usual pace.
    """

    def __init__(self, *, ewma_weight):
        """Start without a pace."""
        self._ewma_weight = ewma_weight
        self._mean_factor = 1.0
        self._observed_at = float("-inf")
        self.percent = 0

    def observe(self, percent, now):
        """Record the pace in one answer, in percent of the usual times."""
        self.percent = percent
        self._observed_at = now
        self._mean_factor += self._ewma_weight * (
            pace_factor(percent, 0.0) - self._mean_factor
        )

    def percent_at(self, now):
        """Return the pace, as far as it still holds; at least 1."""
        factor = pace_factor(self.percent, now - self._observed_at)
        return round(factor * USUAL_PACE_PERCENT)

    def usual_seconds(self, mean_service_seconds):
        """Return the mean service time at the usual pace."""
        return mean_service_seconds / self._mean_factor

    def slowdown(self, now):
        """Return the current service time as a multiple of the mean one."""
        if not self.percent:
            return 1.0
        factor = pace_factor(self.percent, now - self._observed_at)
        return factor / self._mean_factor

"""Random samples of the targets that can accept a request."""

# Maximum number of targets examined, separately for same-zone and cross-zone
# targets.
MAX_SAMPLED = 6


def usable_sample(targets, now, random, exclude):
    """Return the usable targets, out of at most `MAX_SAMPLED` random ones."""
    if len(targets) > MAX_SAMPLED:
        targets = random.sample(targets, MAX_SAMPLED)
    return [target for target in targets if is_usable(target, now, exclude)]


def is_usable(target, now, exclude):
    """Return whether a healthy target has capacity for one more request."""
    return (
        not target.draining
        and target.target_id not in exclude
        and target.has_capacity(now)
        and not target.looks_unhealthy(now)
    )

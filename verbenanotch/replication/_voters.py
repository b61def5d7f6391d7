"""Which change of voters a leader makes by itself.

The load pattern is a control host that is lost for good while another one
is at hand: until the voters have changed, the next loss could stop the log.
"""


def decide_voters(
    configuration,
    *,
    caught_up_by_name,
    silent_seconds_by_id,
    wanted,
    timeout,
):
    """Return the configuration that should follow, or None.

    `caught_up_by_name` are the connected members that hold all that is
    committed. `silent_seconds_by_id` tells how long each voter has not
    answered. A voter is given up only while a member without a vote can
    take its place, and one change is made at a time: a removal first, so
    that the voters which are left form every quorum with the new one.
    """
    spare = [
        member
        for name, member in sorted(caught_up_by_name.items())
        if name not in configuration.voters_by_name
    ]
    if not spare:
        return None
    if len(configuration.voters) < wanted:
        return configuration.adding(spare[0])
    for voter in configuration.voters:
        if silent_seconds_by_id.get(voter.id, 0.0) >= timeout:
            return configuration.removing(voter.id)
    return None

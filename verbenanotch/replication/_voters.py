"""The change of voters that a leader makes automatically.

It is meant for a control host that is lost permanently while another one is
available: until the voters have changed, the next loss could leave the log
without a quorum.
"""


def decide_voters(
    configuration,
    *,
    caught_up_by_name,
    silent_seconds_by_id,
    wanted_voters,
    timeout,
):
    """Return the configuration that should follow, or None.

    `caught_up_by_name` are the connected members that have all committed
    entries. `silent_seconds_by_id` is the time since the last reply of each
    voter, which may be replaced from `timeout` seconds on. Voters are added
    up to `wanted_voters`. A voter is removed only if a caught-up learner can
    replace it. Changes are made one at a time, the removal first, so that all
    later quorums consist of the remaining voters and the new one.
    """
    learners = [
        member
        for name, member in sorted(caught_up_by_name.items())
        if name not in configuration.voters_by_name
    ]
    if not learners:
        return None
    if len(configuration.voters) < wanted_voters:
        return configuration.adding(learners[0])
    for voter in configuration.voters:
        if silent_seconds_by_id.get(voter.id, 0.0) >= timeout:
            return configuration.removing(voter.id)
    return None

"""What callers' results and targets' ledgers prove to be wrong.

`results` are KeptResults; `runs` has the number of runs by request id.
"""

# The users' bound for a request that crosses the close of its connection.
LOSS_SLACK_SECONDS = 0.2
# These promise that the request has not run.
PROMISES = {408, 421, 429, 503}


def is_lost(result, runs):
    """Return whether a whole request was read and got no answer."""
    return (
        result.is_whole
        and not result.status
        and (
            result.request_id in runs
            or (
                not result.is_announced
                and result.waited_seconds > LOSS_SLACK_SECONDS
            )
        )
    )


def lost(results, runs):
    """Return the requests that are lost."""
    return [result for result in results if is_lost(result, runs)]


def refused_but_run(results, runs):
    """Return the requests that ran though their answers deny it."""
    return [
        result
        for result in results
        if result.status in PROMISES and result.request_id in runs
    ]


def run_twice(results, runs):
    """Return the requests that ran more often than once may."""
    return [
        result
        for result in results
        if result.method == "POST" and runs[result.request_id] > 1
    ]

"""How long an attempt may be in flight before another replica is asked."""

from datetime import timedelta

# A hedge is sent early enough for an answer that takes this many mean latencies; the
# replica with the second lowest cost is slower than the mean.
_HEDGED_ANSWER_LATENCIES = 1.5
# Shorter delays cannot be distinguished from scheduling delays.
_MIN_HEDGE_DELAY = timedelta(milliseconds=5)


def hedge_delay_for(
    mean_seconds: float, upper_quantile_seconds: float, time_left: timedelta | None
) -> timedelta:
    """Return the hedge delay for the latency of a request.

    Parameters
    ----------
    mean_seconds, upper_quantile_seconds
        Mean and upper quantile of the latency in seconds.
    time_left
        Time until the answer is due, if a hedge should be in time for it. Then the
        delay may be shorter, but not shorter than the mean latency: a hedge does not
        help if most answers come too late.
    """
    delay = timedelta(seconds=upper_quantile_seconds)
    if time_left is not None:
        mean = timedelta(seconds=mean_seconds)
        latest = time_left - mean * _HEDGED_ANSWER_LATENCIES
        if latest >= mean:
            delay = min(delay, latest)
    return max(delay, _MIN_HEDGE_DELAY)

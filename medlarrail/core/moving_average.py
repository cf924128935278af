"""Exponentially weighted moving averages of what endpoints do.

They cover ten answers or so: one odd answer does not decide.
"""

EWMA_WEIGHT = 0.15
"""Weight of the latest value."""


def update_mean(mean: float, value: float) -> float:
    """Return the average with one more value.

    >>> update_mean(1.0, 2.0)
    1.15
    """
    return mean + EWMA_WEIGHT * (value - mean)

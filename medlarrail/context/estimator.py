"""Decides whether an endpoint restores or recomputes a prompt's context."""

from typing import Literal

from attrs import frozen

Choice = Literal["recompute", "restore"]


@frozen
class CostWeights:
    """Cost weights of a deployment, per second.

    ``first_token`` is the weight of the caller's wait, ``recompute`` of
    accelerator time and ``link`` of link time.
    """

    first_token: float = 1.0
    recompute: float = 0.2
    link: float = 0.2


@frozen
class CostInputs:
    """Inputs of the cost estimate; sizes in bytes, times in seconds.

    ``text_bytes`` is the size of the prompt text in the blocks to restore,
    ``data_bytes`` that of their cached data, and ``wait_s`` the link's backlog.
    """

    text_bytes: int
    data_bytes: int
    wait_s: float
    link_bytes_per_s: float
    prefill_bytes_per_s: float


@frozen
class Estimate:
    """The cheaper choice, and the estimated time of each in seconds."""

    choice: Choice
    restore_s: float
    recompute_s: float


def estimate(cost_inputs: CostInputs, weights: CostWeights) -> Estimate:
    """Return the choice with the lower weighted cost."""
    recompute_s = cost_inputs.text_bytes / cost_inputs.prefill_bytes_per_s
    transfer_s = cost_inputs.data_bytes / max(1.0, cost_inputs.link_bytes_per_s)
    restore_s = cost_inputs.wait_s + transfer_s
    restore_cost = weights.first_token * restore_s + weights.link * transfer_s
    recompute_cost = (weights.first_token + weights.recompute) * recompute_s
    choice = "restore" if restore_cost < recompute_cost else "recompute"
    return Estimate(choice, restore_s, recompute_s)

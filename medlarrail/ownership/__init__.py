"""Owners of endpoints: permits, limits, fairness and roll-outs."""

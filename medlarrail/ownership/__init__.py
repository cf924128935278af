"""Endpoint ownership: permits, concurrency limits, fair queueing and rollouts."""

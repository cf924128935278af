"""Endpoint ownership: permits, concurrency limits, fair queueing and roll-outs."""

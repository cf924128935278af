"""Typed messages, their codec and the clients that carry them."""

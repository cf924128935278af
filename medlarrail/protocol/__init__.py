"""Typed messages between processes and the formats of their bodies."""

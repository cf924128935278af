"""Local durable state; nothing in this layer knows the network."""

from medlarrail.state import appliers  # noqa: F401  registers the appliers

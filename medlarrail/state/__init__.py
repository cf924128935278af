"""Local durable state; this layer is independent of the network."""

from medlarrail.state import appliers  # noqa: F401  registers the appliers

"""Local durable state; nothing in this layer knows the network."""

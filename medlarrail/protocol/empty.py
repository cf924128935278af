"""The message without fields, apart from those that need the types of the log."""

from attrs import frozen


@frozen
class EmptyMessage:
    """A request without parameters, or an answer without a result."""

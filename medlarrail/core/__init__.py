"""Plain data types and pure functions that every other layer speaks."""

"""Decisions as pure functions over typed views, apart from input and output."""

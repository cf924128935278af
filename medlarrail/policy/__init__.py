"""Scheduling and admission policies: pure functions over immutable views, no I/O."""

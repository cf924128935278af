"""Decisions between processes: log, leases, permits and routing."""

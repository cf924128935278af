"""The replicated log: replication, elections, membership and cluster bootstrap."""

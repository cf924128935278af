"""Communication between entries and state members, and state on the leader."""

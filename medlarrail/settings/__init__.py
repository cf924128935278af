"""Settings of the programs, read from JSON files."""

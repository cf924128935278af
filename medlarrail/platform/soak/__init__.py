"""A fault soak of the platform's path with real processes; for development only."""

"""What entries and state members tell each other."""

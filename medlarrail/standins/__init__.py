"""Development stand-ins for model engines, services and callers."""

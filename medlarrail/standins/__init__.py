"""Development stand-ins for model engines and services, and benchmarks."""

"""Entry points, one module per executable."""

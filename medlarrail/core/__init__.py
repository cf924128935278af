"""Data types and functions shared by all other layers."""

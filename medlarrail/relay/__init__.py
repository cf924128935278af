"""Carries opaque requests between callers and endpoints, byte for byte."""

"""Builders of test data and harnesses for tests."""

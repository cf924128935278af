"""Kept context: stores, links and estimates."""

"""Stored prompt contexts: stores, links and cost estimates."""

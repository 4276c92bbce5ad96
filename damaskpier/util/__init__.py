"""Helpers that several packages use, one module per topic."""

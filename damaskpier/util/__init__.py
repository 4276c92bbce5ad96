"""Helpers shared by several parts, one module per topic."""

"""Nodes that read configuration and orders directly from a shared store."""

"""Nodes that take configuration and orders straight from a shared store."""

"""Decisions about the choice of a worker, without input or output."""

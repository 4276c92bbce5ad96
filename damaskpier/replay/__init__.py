"""Replay of recorded traces against the decision code."""

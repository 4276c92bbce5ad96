"""Demonstration of rollouts on a small fleet of local processes."""

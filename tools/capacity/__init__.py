"""Measurement of the figures in docs/CAPACITY.md."""

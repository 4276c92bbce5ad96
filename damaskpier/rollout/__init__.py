"""Moves of traffic between upstream versions."""

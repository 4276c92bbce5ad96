"""Measures both kinds of error of the sequential test."""

from __future__ import annotations


def lines(processes: int) -> list[str]:
    """Return the lines of the table of error rates."""
    return []

"""Decisions about teams of callers: their keys and allowances."""

"""Decisions about the capacity of workers: admission, returns and pace."""

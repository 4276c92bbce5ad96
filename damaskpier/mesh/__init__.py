"""Membership and distribution of state between nodes."""

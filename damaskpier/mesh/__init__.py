"""Membership, and distribution of state between nodes by a tree."""

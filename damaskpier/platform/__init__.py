"""Adapter to the users' platform, and the only package with its names.

The modules translate between the platform's messages and the types of
:mod:`damaskpier.fleet`; they contain no decisions.
"""

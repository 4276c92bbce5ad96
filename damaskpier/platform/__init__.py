"""Adapter to the users' platform: the only place that knows its names.

The modules translate between the platform's messages and the types of
:mod:`damaskpier.fleet`; they hold no decisions.
"""

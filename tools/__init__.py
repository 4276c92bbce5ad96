"""Tools for development; not part of the package."""

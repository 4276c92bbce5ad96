"""Bundles: the versioned routing and traffic configuration."""

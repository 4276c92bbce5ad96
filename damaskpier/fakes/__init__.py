"""Fakes of the platform and of an upstream, for tests and tools."""

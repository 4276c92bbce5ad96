"""Access to the object API of the platform."""

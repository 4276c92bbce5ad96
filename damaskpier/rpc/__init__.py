"""Messages and services between nodes."""

"""The way of a request from the caller to an upstream."""

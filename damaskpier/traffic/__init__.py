"""The path of requests from callers to upstreams."""

"""HTTP/1.1 connections of the request path, parsed by ``httptools``."""

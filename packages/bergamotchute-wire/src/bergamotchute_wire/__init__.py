"""Transports: links between processes, and HTTP with callers, operators and endpoints."""

"""The type of HTTP headers.

It has its own module so that entries and control VMs can import it without the messages between
entries and agents, whose types add 20 ms to each start.
"""

from __future__ import annotations

Headers = tuple[tuple[str, str], ...]
"""Pairs of lower-case name and value, in order."""

EVENT_STREAM_TYPE = "text/event-stream"
"""The content type of a stream of server-sent events."""

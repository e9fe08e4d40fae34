"""Headers of HTTP messages, in a module of their own: entries and control VMs need nothing more of the
messages between entries and agents, whose types take 20 ms to build at each start."""

from __future__ import annotations

Headers = tuple[tuple[str, str], ...]
"""Names in lower case and values, in order."""

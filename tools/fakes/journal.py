"""A file of what an endpoint truly executed; checkers read it, the system never does."""

from __future__ import annotations

import json
import time
from pathlib import Path


class ExecutionJournal:
    """Appends one JSON line at the start and at the end of each execution.

    :param path: the file; ``None`` keeps the lines in memory only.
    :param lines: what was written, oldest first.
    """

    def __init__(self, endpoint: str, path: Path | None) -> None:
        self.endpoint = endpoint
        self.path = path
        self.lines: list[dict[str, object]] = []

    def write(self, event: str, request_id: str, attempt: str, **fields: object) -> None:
        """Append one line; it is in the file before this returns."""
        line: dict[str, object] = {
            "event": event,
            "endpoint": self.endpoint,
            "request_id": request_id,
            "attempt": attempt,
            "unix_s": time.time(),
            **fields,
        }
        self.lines.append(line)
        if self.path is not None:
            with self.path.open("a", encoding="utf-8") as file:
                file.write(json.dumps(line) + "\n")

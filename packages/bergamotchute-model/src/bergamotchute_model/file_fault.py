"""What is wrong in an operator file, and where."""

from __future__ import annotations

from dataclasses import dataclass

FAULTS_MAX = 50
_FOUND_LENGTH = 80

Path = tuple[str | int, ...]


@dataclass(frozen=True, order=True)
class Mark:
    """A place in a file.

    :param line: counts from 1.
    :param column: counts from 1.
    """

    line: int
    column: int


@dataclass(frozen=True)
class FileFault:
    """One fault of a file.

    :param source: the file, by name or path.
    :param path: the keys and list positions that lead to the fault; empty for the whole file.
    :param found: what stands there.
    :param allowed: what may stand there.
    """

    source: str
    mark: Mark
    path: Path
    found: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.source}:{self.mark.line}:{self.mark.column}"
        return f"{place}: {path_text(self.path)}: found {self.found}; allowed: {self.allowed}"


Faults = tuple[FileFault, ...]


def path_text(path: Path) -> str:
    """Return a path as operators read it, such as ``teams[2].weight``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".") or "file"


def found_text(value: object) -> str:
    """Return a value as a fault shows it, on one line and cut short."""
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    if value is None:
        return "nothing"
    if isinstance(value, bool):
        return "true" if value else "false"
    text = repr(value)
    return text if len(text) <= _FOUND_LENGTH else f"{text[:_FOUND_LENGTH]}…"

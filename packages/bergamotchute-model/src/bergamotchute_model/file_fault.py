"""Faults in operator files and their positions."""

from __future__ import annotations

from dataclasses import dataclass

MAX_FAULTS = 50
_MAX_FOUND_CHARACTERS = 80

ValuePath = tuple[str | int, ...]


@dataclass(frozen=True, order=True)
class SourcePosition:
    """A position in a file.

    :param line: line number, from 1.
    :param column: column number, from 1.
    """

    line: int
    column: int


@dataclass(frozen=True)
class FileFault:
    """A fault in an operator file.

    :param source: name or path of the file.
    :param path: the keys and list indices that lead to the fault; empty for the whole file.
    :param found: a description of the value that was found.
    :param allowed: a description of the values that are allowed.
    """

    source: str
    position: SourcePosition
    path: ValuePath
    found: str
    allowed: str

    def __str__(self) -> str:
        location = f"{self.source}:{self.position.line}:{self.position.column}"
        return f"{location}: {format_path(self.path)}: found {self.found}; allowed: {self.allowed}"


Faults = tuple[FileFault, ...]


def format_path(path: ValuePath) -> str:
    """Format a path for error messages, such as ``teams[2].weight``."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".") or "file"


def describe_value(value: object) -> str:
    """Describe a value for error messages, on one line and truncated."""
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    if value is None:
        return "nothing"
    if isinstance(value, bool):
        return "true" if value else "false"
    text = repr(value)
    return text if len(text) <= _MAX_FOUND_CHARACTERS else f"{text[:_MAX_FOUND_CHARACTERS]}…"

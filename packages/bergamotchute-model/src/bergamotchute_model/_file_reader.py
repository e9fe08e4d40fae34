"""Reads YAML text into plain values and records the position of each value.

Only a subset of YAML is supported, so that a file means what it shows: no tags, anchors or
aliases, a single document, and no duplicate keys. Scalars follow YAML's core schema, so that words
such as ``no`` and ``on`` stay strings.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

import yaml
from result import Err, Ok, Result

from bergamotchute_model.file_fault import (
    MAX_FAULTS,
    Faults,
    FileFault,
    SourcePosition,
    ValuePath,
    describe_value,
)

MAX_FILE_BYTES = 1_048_576
MAX_NESTING_DEPTH = 8

PlainValue = None | bool | int | float | str | list["PlainValue"] | dict[str, "PlainValue"]

_PLAIN_WORDS: dict[str, bool | None] = {
    "": None,
    "~": None,
    "null": None,
    "true": True,
    "false": False,
}
_INTEGER_PATTERN = re.compile(r"-?(0|[1-9][0-9]{0,17})")
_FLOAT_PATTERN = re.compile(r"-?(0|[1-9][0-9]{0,17})(\.[0-9]{1,18})?([eE][-+]?[0-9]{1,2})?")
_KEY_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")
_FILE_START = SourcePosition(1, 1)


@dataclass(frozen=True)
class YamlDocument:
    """The plain values of a file.

    :param positions: the position of each value, by its path.
    """

    value: PlainValue
    positions: dict[ValuePath, SourcePosition]


class _UnsupportedYamlError(Exception):
    """Raised for YAML outside the supported subset; reading stops there."""

    def __init__(self, position: SourcePosition, path: ValuePath, found: str, allowed: str) -> None:
        super().__init__(found)
        self.position = position
        self.path = path
        self.found = found
        self.allowed = allowed


@dataclass
class _DocumentBuilder:
    """Builds plain values from the events of the YAML parser."""

    source: str
    events: Iterator[yaml.Event]
    positions: dict[ValuePath, SourcePosition] = field(default_factory=dict)
    faults: list[FileFault] = field(default_factory=list)

    def read_root(self) -> PlainValue:
        """Return the value of the only document; ``None`` for an empty file."""
        self._next_event()
        event = self._next_event()
        if isinstance(event, yaml.StreamEndEvent):
            self.positions[()] = _FILE_START
            return None
        value = self._read_value(self._next_event(), ())
        self._next_event()
        event = self._next_event()
        if not isinstance(event, yaml.StreamEndEvent):
            raise _UnsupportedYamlError(
                _event_position(event), (), "a second document", "one document per file"
            )
        return value

    def _next_event(self) -> yaml.Event:
        return next(self.events)

    def _read_value(self, event: yaml.Event, path: ValuePath) -> PlainValue:
        """Read the value that starts with ``event``."""
        self._check_supported(event, path)
        self.positions.setdefault(path, _event_position(event))
        if isinstance(event, yaml.MappingStartEvent):
            return self._read_mapping(path)
        if isinstance(event, yaml.SequenceStartEvent):
            return self._read_sequence(path)
        assert isinstance(event, yaml.ScalarEvent)
        return str(event.value) if event.style else _parse_plain_scalar(event.value)

    def _read_mapping(self, path: ValuePath) -> dict[str, PlainValue]:
        """Read the rest of a mapping; each duplicate key is recorded as a fault."""
        values: dict[str, PlainValue] = {}
        while not isinstance(event := self._next_event(), yaml.MappingEndEvent):
            self._check_supported(event, path)
            key = event.value if isinstance(event, yaml.ScalarEvent) else ""
            if not _KEY_PATTERN.fullmatch(key):
                raise _UnsupportedYamlError(
                    _event_position(event),
                    path,
                    "an unsupported key",
                    "a key of 1 to 64 letters, digits, '_', '.' or '-'",
                )
            child_path = (*path, key)
            if key in values:
                first_position = self.positions[child_path]
                self._add_fault(
                    _event_position(event),
                    child_path,
                    "a duplicate key",
                    f"one definition; first defined in line {first_position.line}",
                )
            else:
                self.positions[child_path] = _event_position(event)
            values[key] = self._read_value(self._next_event(), child_path)
        return values

    def _read_sequence(self, path: ValuePath) -> list[PlainValue]:
        """Read the rest of a list."""
        values: list[PlainValue] = []
        while not isinstance(event := self._next_event(), yaml.SequenceEndEvent):
            values.append(self._read_value(event, (*path, len(values))))
        return values

    def _check_supported(self, event: yaml.Event, path: ValuePath) -> None:
        """Reject anchors, aliases, tags and nesting below :data:`MAX_NESTING_DEPTH`.

        :raises _UnsupportedYamlError: for any of these.
        """
        if isinstance(event, yaml.AliasEvent) or getattr(event, "anchor", None):
            raise _UnsupportedYamlError(
                _event_position(event), path, "an anchor or alias", "the value written out in full"
            )
        tag = getattr(event, "tag", None)
        if tag:
            raise _UnsupportedYamlError(
                _event_position(event), path, f"the tag {tag}", "a value without a tag"
            )
        if len(path) > MAX_NESTING_DEPTH:
            raise _UnsupportedYamlError(
                _event_position(event),
                path,
                "nesting that is too deep",
                f"at most {MAX_NESTING_DEPTH} levels",
            )

    def _add_fault(
        self, position: SourcePosition, path: ValuePath, found: str, allowed: str
    ) -> None:
        """Record a fault, up to :data:`MAX_FAULTS`; reading continues."""
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(FileFault(self.source, position, path, found, allowed))


def read_yaml_document(source: str, text: str) -> Result[YamlDocument, Faults]:
    """Read a single YAML document of at most :data:`MAX_FILE_BYTES`.

    :param source: the name or path of the file, for error messages.
    """
    size = len(text.encode(errors="surrogatepass"))
    if size > MAX_FILE_BYTES:
        allowed = f"at most {MAX_FILE_BYTES} bytes"
        return Err((FileFault(source, _FILE_START, (), f"{size} bytes", allowed),))
    builder = _DocumentBuilder(source, iter(yaml.parse(text, Loader=yaml.CSafeLoader)))
    try:
        value = builder.read_root()
    except _UnsupportedYamlError as refused:
        fault = FileFault(source, refused.position, refused.path, refused.found, refused.allowed)
        return Err((*builder.faults, fault))
    except (yaml.YAMLError, UnicodeError) as error:
        return Err((*builder.faults, _syntax_fault(source, error)))
    if builder.faults:
        return Err(tuple(builder.faults))
    return Ok(YamlDocument(value, builder.positions))


def _event_position(event: yaml.Event) -> SourcePosition:
    """Return the position at which a parser event starts."""
    yaml_mark = event.start_mark
    return SourcePosition(yaml_mark.line + 1, yaml_mark.column + 1) if yaml_mark else _FILE_START


def _syntax_fault(source: str, error: Exception) -> FileFault:
    """Return a fault for text that is not valid YAML or not valid Unicode."""
    yaml_mark = getattr(error, "problem_mark", None)
    position = (
        SourcePosition(yaml_mark.line + 1, yaml_mark.column + 1) if yaml_mark else _FILE_START
    )
    problem = getattr(error, "problem", None) or getattr(error, "reason", None) or "unreadable text"
    return FileFault(source, position, (), describe_value(str(problem)), "valid YAML in UTF-8")


def _parse_plain_scalar(text: str) -> PlainValue:
    """Parse an unquoted scalar."""
    if text in _PLAIN_WORDS:
        return _PLAIN_WORDS[text]
    if _INTEGER_PATTERN.fullmatch(text):
        return int(text)
    if _FLOAT_PATTERN.fullmatch(text):
        return float(text)
    return text

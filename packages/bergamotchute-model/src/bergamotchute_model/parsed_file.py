"""Reads an operator file into its schema, with clear faults."""

from __future__ import annotations

import dataclasses
import difflib
import json
import types
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cache
from typing import Annotated, Any, Union, get_args, get_origin, get_type_hints

from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from bergamotchute_model._file_reader import Document, Value, read_document
from bergamotchute_model.file_fault import FAULTS_MAX, Faults, FileFault, Mark, Path, found_text
from bergamotchute_model.operator_file import OperatorFile


@cache
def _adapter() -> TypeAdapter[OperatorFile]:
    """Return the schema, built at first use: it takes tens of milliseconds."""
    return TypeAdapter(OperatorFile)


_ALLOWED = {
    "int_type": "a whole number",
    "int_from_float": "a whole number",
    "float_type": "a number",
    "finite_number": "a finite number",
    "string_type": "a text, in quotes where it looks like a number",
    "bool_type": "true or false",
    "tuple_type": "a list",
    "dataclass_type": "a mapping",
    "datetime_type": "a UTC time such as 2026-01-31T22:00:00Z",
    "datetime_parsing": "a UTC time such as 2026-01-31T22:00:00Z",
    "datetime_from_date_parsing": "a UTC time such as 2026-01-31T22:00:00Z",
    "enum": "{expected}",
    "value_error": "{error}",
    "greater_than": "more than {gt}",
    "greater_than_equal": "at least {ge}",
    "less_than_equal": "at most {le}",
    "string_pattern_mismatch": "a text of the form {pattern}",
    "string_too_short": "at least {min_length} characters",
    "string_too_long": "at most {max_length} characters",
    "too_short": "at least {min_length} items",
}
_UNKNOWN_KEY = "unexpected_keyword_argument"
_MISSING = "missing"


@dataclass(frozen=True)
class ParsedFile:
    """An operator file that was read.

    :param source: its name or path, for faults.
    :param marks: where each value stands, by its path.
    """

    source: str
    content: OperatorFile
    marks: dict[Path, Mark]

    def fault(self, path: Path, found: str, allowed: str) -> FileFault:
        """Return a fault at ``path``, or at the nearest value around it."""
        return FileFault(self.source, nearest_mark(self.marks, path), path, found, allowed)


def parse_file(source: str, text: str) -> Result[ParsedFile, Faults]:
    """Read a file by itself; references to other files are not looked at.

    :param source: its name or path, for faults.
    """
    read = read_document(source, text)
    if isinstance(read, Err):
        return read
    document = read.ok_value
    try:
        content = _adapter().validate_json(json.dumps(document.value))
    except ValidationError as error:
        details = error.errors(include_url=False)[:FAULTS_MAX]
        return Err(tuple(_fault(source, document, detail) for detail in details))
    return Ok(ParsedFile(source, content, document.marks))


def nearest_mark(marks: dict[Path, Mark], path: Path) -> Mark:
    """Return the mark of ``path``, or that of the nearest value around it."""
    while path and path not in marks:
        path = path[:-1]
    return marks.get(path, Mark(1, 1))


def _fault(source: str, document: Document, detail: ErrorDetails) -> FileFault:
    """Turn one finding of the validator into a fault."""
    path: Path = tuple(detail["loc"])
    mark = nearest_mark(document.marks, path)
    if detail["type"] == _MISSING:
        return FileFault(source, mark, path, "no such key", "the key is needed")
    if detail["type"] == _UNKNOWN_KEY:
        allowed = _key_hint(str(path[-1]), _keys_at(path[:-1]))
        return FileFault(source, mark, path, "an unknown key", allowed)
    found = found_text(_value_at(document.value, path))
    return FileFault(source, mark, path, found, _allowed(detail))


def _allowed(detail: ErrorDetails) -> str:
    """Say what the validator would have taken."""
    template = _ALLOWED.get(detail["type"])
    if template is None:
        return detail["msg"]
    return template.format_map(detail.get("ctx", {}))


def _key_hint(found: str, keys: Sequence[str]) -> str:
    """Name the allowed keys, and the one that was likely meant."""
    close = difflib.get_close_matches(found[:100], keys, n=1)
    hint = f"did you mean {close[0]!r}? " if close else ""
    return f"{hint}keys here are {', '.join(keys)}"


def _value_at(value: Value, path: Path) -> Value:
    """Return the plain value at ``path``."""
    for part in path:
        if isinstance(value, dict) and isinstance(part, str):
            value = value.get(part)
        elif isinstance(value, list) and isinstance(part, int):
            value = value[part]
    return value


def _keys_at(path: Path) -> tuple[str, ...]:
    """Return the keys that the mapping at ``path`` may have."""
    present: Any = OperatorFile
    for part in path:
        if isinstance(part, str):
            present = _item_type(get_type_hints(present)[part])
    return tuple(item.name for item in dataclasses.fields(present))


def _item_type(hint: Any) -> Any:
    """Return the data class inside a list or an optional value."""
    while not dataclasses.is_dataclass(hint):
        origin = get_origin(hint)
        if origin not in (tuple, Union, types.UnionType, Annotated):
            return hint
        hint = get_args(hint)[0]
    return hint

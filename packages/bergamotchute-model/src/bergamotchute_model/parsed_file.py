"""Parses and validates a single operator file."""

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

from bergamotchute_model._file_reader import PlainValue, YamlDocument, read_yaml_document
from bergamotchute_model.file_fault import (
    MAX_FAULTS,
    Faults,
    FileFault,
    SourcePosition,
    ValuePath,
    describe_value,
)
from bergamotchute_model.operator_file import OperatorFile


@cache
def _operator_file_adapter() -> TypeAdapter[OperatorFile]:
    """Return the validator; it is built at first use, as building it takes tens of milliseconds."""
    return TypeAdapter(OperatorFile)


_ALLOWED_TEXT_BY_ERROR_TYPE = {
    "int_type": "an integer",
    "int_from_float": "an integer",
    "float_type": "a number",
    "finite_number": "a finite number",
    "string_type": "a string; quote it if it looks like a number",
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
    "string_pattern_mismatch": "a string that matches {pattern}",
    "string_too_short": "at least {min_length} characters",
    "string_too_long": "at most {max_length} characters",
    "too_short": "at least {min_length} items",
}
_UNKNOWN_KEY_ERROR_TYPE = "unexpected_keyword_argument"
_MISSING_KEY_ERROR_TYPE = "missing"


@dataclass(frozen=True)
class ParsedFile:
    """A parsed operator file.

    :param source: name or path of the file, for error messages.
    :param positions: the position of each value, by its path.
    """

    source: str
    content: OperatorFile
    positions: dict[ValuePath, SourcePosition]

    def create_fault(self, path: ValuePath, found: str, allowed: str) -> FileFault:
        """Return a fault at ``path``, positioned at the innermost enclosing value that is known."""
        return FileFault(self.source, nearest_position(self.positions, path), path, found, allowed)


def parse_file(source: str, text: str) -> Result[ParsedFile, Faults]:
    """Parse and validate a file on its own; references to other files are not checked.

    :param source: name or path of the file, for error messages.
    """
    read = read_yaml_document(source, text)
    if isinstance(read, Err):
        return read
    document = read.ok_value
    try:
        content = _operator_file_adapter().validate_json(json.dumps(document.value))
    except ValidationError as error:
        errors = error.errors(include_url=False)[:MAX_FAULTS]
        return Err(tuple(_fault_from_error(source, document, detail) for detail in errors))
    return Ok(ParsedFile(source, content, document.positions))


def nearest_position(positions: dict[ValuePath, SourcePosition], path: ValuePath) -> SourcePosition:
    """Return the position of ``path``, or of the innermost enclosing value that is known."""
    while path and path not in positions:
        path = path[:-1]
    return positions.get(path, SourcePosition(1, 1))


def _fault_from_error(source: str, document: YamlDocument, detail: ErrorDetails) -> FileFault:
    """Convert a validation error into a fault."""
    path: ValuePath = tuple(detail["loc"])
    position = nearest_position(document.positions, path)
    if detail["type"] == _MISSING_KEY_ERROR_TYPE:
        return FileFault(source, position, path, "no such key", "the key is required")
    if detail["type"] == _UNKNOWN_KEY_ERROR_TYPE:
        allowed = _allowed_keys_text(str(path[-1]), _keys_at(path[:-1]))
        return FileFault(source, position, path, "an unknown key", allowed)
    found = describe_value(_value_at(document.value, path))
    return FileFault(source, position, path, found, _allowed_text(detail))


def _allowed_text(detail: ErrorDetails) -> str:
    """Describe the values that the validator accepts."""
    template = _ALLOWED_TEXT_BY_ERROR_TYPE.get(detail["type"])
    if template is None:
        return detail["msg"]
    return template.format_map(detail.get("ctx", {}))


def _allowed_keys_text(found: str, keys: Sequence[str]) -> str:
    """List the allowed keys, with a suggestion where one resembles the key that was found."""
    close_matches = difflib.get_close_matches(found[:100], keys, n=1)
    hint = f"did you mean {close_matches[0]!r}? " if close_matches else ""
    return f"{hint}allowed keys are {', '.join(keys)}"


def _value_at(value: PlainValue, path: ValuePath) -> PlainValue:
    """Return the plain value at ``path``."""
    for part in path:
        if isinstance(value, dict) and isinstance(part, str):
            value = value.get(part)
        elif isinstance(value, list) and isinstance(part, int):
            value = value[part]
    return value


def _keys_at(path: ValuePath) -> tuple[str, ...]:
    """Return the keys that are allowed in the mapping at ``path``."""
    current_type: Any = OperatorFile
    for part in path:
        if isinstance(part, str):
            current_type = _item_type(get_type_hints(current_type)[part])
    return tuple(field.name for field in dataclasses.fields(current_type))


def _item_type(hint: Any) -> Any:
    """Return the data class that a list or optional type contains."""
    while not dataclasses.is_dataclass(hint):
        origin = get_origin(hint)
        if origin not in (tuple, Union, types.UnionType, Annotated):
            return hint
        hint = get_args(hint)[0]
    return hint

"""Encodes messages as CBOR, and validates them against their types when decoding."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from functools import cache, cached_property
from typing import Any, Generic, TypeVar, get_args

import cbor2
import msgspec

Message = TypeVar("Message")

MAX_CACHED_ENCODINGS = 32
"""Size of the cache of encodings, so that a message for many peers is encoded once."""

CBOR_SHORT_ARRAY = 0x80
CBOR_ARRAY_WITH_COUNT_BYTE = 0x98
CBOR_SHORT_ARRAY_LIMIT = 24
"""Heads of CBOR arrays: below 24 items the count is part of the initial byte, RFC 8949 section 3."""

KIND_FIELD = "kind"
"""The field that names a message's type."""


class MalformedMessageError(Exception):
    """The bytes are not a message of an expected kind."""


class MessageCodec(Generic[Message]):
    """Encodes and decodes messages of several kinds.

    :param messages: a union of data classes with a ``kind`` field, the base class of such classes,
        or a single message type.
    """

    def __init__(self, messages: Any) -> None:
        self._messages = messages
        self._cached_encodings: OrderedDict[int, tuple[Message, bytes]] = OrderedDict()

    @cached_property
    def _types_by_kind(self) -> dict[str, type]:
        """The message types by kind, computed at first use."""
        return _find_types_by_kind(self._messages)

    def encode(self, message: Message) -> bytes:
        """Return the CBOR encoding of a message."""
        return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))

    def decode(self, data: bytes) -> Message:
        """Decode one message.

        :raises MalformedMessageError: when the bytes are not a valid message; says what is wrong.
        """
        return self._convert_all([_load_cbor(data)])[0]

    def encode_all(self, messages: Sequence[Message]) -> bytes:
        """Return the CBOR encoding of a list of messages."""
        if len(messages) > 0xFF:
            return cbor2.dumps(msgspec.to_builtins(list(messages), builtin_types=(bytes,)))
        head = (
            bytes((CBOR_SHORT_ARRAY + len(messages),))
            if len(messages) < CBOR_SHORT_ARRAY_LIMIT
            else bytes((CBOR_ARRAY_WITH_COUNT_BYTE, len(messages)))
        )
        return head + b"".join(map(self._encode_cached, messages))

    def _encode_cached(self, message: Message) -> bytes:
        """Return the CBOR encoding of a message, cached for the next peer that receives it."""
        known = self._cached_encodings.get(id(message))
        if known is not None and known[0] is message:
            return known[1]
        encoded = self.encode(message)
        self._cached_encodings[id(message)] = (message, encoded)
        if len(self._cached_encodings) > MAX_CACHED_ENCODINGS:
            self._cached_encodings.popitem(last=False)
        return encoded

    def decode_all(self, data: bytes) -> list[Message]:
        """Decode a list of messages that :meth:`encode_all` encoded.

        :raises MalformedMessageError: when any of them is invalid; says what is wrong.
        """
        return self._convert_all(_load_cbor(data))

    def _convert_all(self, items: Any) -> list[Message]:
        if not isinstance(items, list):
            raise MalformedMessageError("expected a list of messages")
        try:
            if not self._types_by_kind:
                return [msgspec.convert(item, self._messages) for item in items]
            return [_convert_by_kind(self._types_by_kind, item) for item in items]
        except msgspec.ValidationError as error:
            raise MalformedMessageError(str(error)) from error
        except RecursionError as error:
            raise MalformedMessageError("message is nested too deeply") from error


def _load_cbor(data: bytes) -> Any:
    try:
        return cbor2.loads(data)
    except (cbor2.CBORDecodeError, RecursionError, ValueError) as error:
        raise MalformedMessageError(f"not CBOR: {error}") from error


def _convert_by_kind(kinds: dict[str, type], item: Any) -> Any:
    """Convert an item to the message type that its ``kind`` field names.

    :raises msgspec.ValidationError: when the kind is missing or unknown.
    """
    name = item.get(KIND_FIELD) if isinstance(item, dict) else None
    kind = kinds.get(name) if isinstance(name, str) else None
    if kind is None:
        raise msgspec.ValidationError("kind: missing or not a known kind of message")
    return msgspec.convert(item, kind, dec_hook=_convert_field)


def _convert_field(base: type, item: Any) -> Any:
    """Convert a field whose type is the base class of several kinds of messages."""
    return _convert_by_kind(_find_types_by_kind(base), item)


@cache
def _find_types_by_kind(messages: Any) -> dict[str, type]:
    """Return the message types by kind; empty for a single type without a ``kind`` field."""
    members: Iterable[Any] = get_args(messages)
    if isinstance(messages, type):
        members = messages.__subclasses__()
    return {vars(member)[KIND_FIELD]: member for member in members if KIND_FIELD in vars(member)}

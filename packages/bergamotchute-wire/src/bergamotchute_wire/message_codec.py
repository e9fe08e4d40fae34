"""Messages to bytes and back: CBOR, checked against the message types on the way in."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from functools import cache, cached_property
from typing import Any, Generic, TypeVar, get_args

import cbor2
import msgspec

Message = TypeVar("Message")

ENCODED_KEPT = 32
"""Messages whose encoding is kept, as one that goes to many peers is encoded once."""

ARRAY_OF_FEW = 0x80
ARRAY_WITH_BYTE = 0x98
FEW = 24
"""Heads of CBOR arrays: below 24 items the count is part of the first byte, RFC 8949 section 3."""

KIND = "kind"
"""The field that names a message's type."""


class MalformedMessageError(Exception):
    """Bytes that are no message of the expected kinds."""


class MessageCodec(Generic[Message]):
    """Encodes and decodes messages of several kinds.

    :param messages: a union of data classes with a ``kind``, a class whose subclasses these are, or
        one type of messages.
    """

    def __init__(self, messages: Any) -> None:
        self._messages = messages
        self._encoded: OrderedDict[int, tuple[Message, bytes]] = OrderedDict()

    @cached_property
    def _kinds(self) -> dict[str, type]:
        """The types of messages by kind, found at first use."""
        return _kinds(self._messages)

    def encode(self, message: Message) -> bytes:
        """Return the CBOR form of a message."""
        return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))

    def decode(self, data: bytes) -> Message:
        """Return the message that the bytes hold.

        :raises MalformedMessageError: when they hold none; the text says what was wrong.
        """
        return self._checked([_loaded(data)])[0]

    def encode_all(self, messages: Sequence[Message]) -> bytes:
        """Return the CBOR form of several messages together."""
        if len(messages) > 0xFF:
            return cbor2.dumps(msgspec.to_builtins(list(messages), builtin_types=(bytes,)))
        head = (
            bytes((ARRAY_OF_FEW + len(messages),))
            if len(messages) < FEW
            else bytes((ARRAY_WITH_BYTE, len(messages)))
        )
        return head + b"".join(map(self._encode_once, messages))

    def _encode_once(self, message: Message) -> bytes:
        """Return the CBOR form of a message, which is kept for the next peer that gets it."""
        known = self._encoded.get(id(message))
        if known is not None and known[0] is message:
            return known[1]
        encoded = self.encode(message)
        self._encoded[id(message)] = (message, encoded)
        if len(self._encoded) > ENCODED_KEPT:
            self._encoded.popitem(last=False)
        return encoded

    def decode_all(self, data: bytes) -> list[Message]:
        """Return the messages that :meth:`encode_all` put together.

        :raises MalformedMessageError: when one of them is none; the text says what was wrong.
        """
        return self._checked(_loaded(data))

    def _checked(self, items: Any) -> list[Message]:
        if not isinstance(items, list):
            raise MalformedMessageError("not a list of messages")
        try:
            if not self._kinds:
                return [msgspec.convert(item, self._messages) for item in items]
            return [_read_kind(self._kinds, item) for item in items]
        except msgspec.ValidationError as error:
            raise MalformedMessageError(str(error)) from error
        except RecursionError as error:
            raise MalformedMessageError("nested too deeply") from error


def _loaded(data: bytes) -> Any:
    try:
        return cbor2.loads(data)
    except (cbor2.CBORDecodeError, RecursionError, ValueError) as error:
        raise MalformedMessageError(f"not CBOR: {error}") from error


def _read_kind(kinds: dict[str, type], item: Any) -> Any:
    """Return the message of one of several kinds.

    :raises msgspec.ValidationError: when it is none of them.
    """
    name = item.get(KIND) if isinstance(item, dict) else None
    kind = kinds.get(name) if isinstance(name, str) else None
    if kind is None:
        raise msgspec.ValidationError("no known kind of message")
    return msgspec.convert(item, kind, dec_hook=_read_field)


def _read_field(base: type, item: Any) -> Any:
    """Return the message in a field whose type is the base class of several kinds."""
    return _read_kind(_kinds(base), item)


@cache
def _kinds(messages: Any) -> dict[str, type]:
    """Return the types of messages by kind; empty for messages of one type without a kind."""
    members: Iterable[Any] = get_args(messages)
    if isinstance(messages, type):
        members = messages.__subclasses__()
    return {vars(member)[KIND]: member for member in members if KIND in vars(member)}

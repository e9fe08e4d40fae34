"""Messages to bytes and back: CBOR, checked against the message types on the way in."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from functools import cached_property
from typing import Any, Generic, TypeVar

import cbor2
from pydantic import TypeAdapter, ValidationError

Message = TypeVar("Message")

ENCODED_KEPT = 32
"""Messages whose encoding is kept, as one that goes to many peers is encoded once."""

ARRAY_OF_FEW = 0x80
ARRAY_WITH_BYTE = 0x98
FEW = 24
"""Heads of CBOR arrays: below 24 items the count is part of the first byte, RFC 8949 section 3."""


class MalformedMessageError(Exception):
    """Bytes that are no message of the expected union."""


class MessageCodec(Generic[Message]):
    """Encodes and decodes one union of messages.

    :param union: the annotated union, discriminated by ``kind``.
    """

    def __init__(self, union: Any) -> None:
        self._union = union
        self._encoded: OrderedDict[int, tuple[Message, bytes]] = OrderedDict()

    @cached_property
    def _adapter(self) -> TypeAdapter[list[Message]]:
        """The schema of several messages, built at first use: it takes tens of milliseconds."""
        return TypeAdapter(list[self._union])  # type: ignore[name-defined]

    def encode(self, message: Message) -> bytes:
        """Return the CBOR form of a message."""
        return cbor2.dumps(self._adapter.dump_python([message])[0])

    def decode(self, data: bytes) -> Message:
        """Return the message that the bytes hold.

        :raises MalformedMessageError: when they hold none; the text says what was wrong.
        """
        return self._checked([_loaded(data)], is_list=False)[0]

    def encode_all(self, messages: Sequence[Message]) -> bytes:
        """Return the CBOR form of several messages together."""
        if len(messages) > 0xFF:
            return cbor2.dumps(self._adapter.dump_python(list(messages)))
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

    def _checked(self, items: Any, is_list: bool = True) -> list[Message]:
        try:
            return self._adapter.validate_python(items)
        except ValidationError as error:
            raise MalformedMessageError(_first_fault(error, is_list)) from error
        except RecursionError as error:
            raise MalformedMessageError("nested too deeply") from error


def _loaded(data: bytes) -> Any:
    try:
        return cbor2.loads(data)
    except (cbor2.CBORDecodeError, RecursionError, ValueError) as error:
        raise MalformedMessageError(f"not CBOR: {error}") from error


def _first_fault(error: ValidationError, is_list: bool) -> str:
    """Return where the first fault stands and what it is, without the offending value.

    :param is_list: whether a message's number is part of the place.
    """
    fault = error.errors(include_input=False, include_url=False)[0]
    place = ".".join(str(part) for part in fault["loc"][0 if is_list else 1 :])
    return f"{place}: {fault['msg']}"

"""Messages to bytes and back: CBOR, checked against the message types on the way in."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Generic, TypeVar

import cbor2
from pydantic import TypeAdapter, ValidationError

Message = TypeVar("Message")


class MalformedMessageError(Exception):
    """Bytes that are no message of the expected union."""


class MessageCodec(Generic[Message]):
    """Encodes and decodes one union of messages.

    :param union: the annotated union, discriminated by ``kind``.
    """

    def __init__(self, union: Any) -> None:
        self._adapter: TypeAdapter[Message] = TypeAdapter(union)
        self._list_adapter: TypeAdapter[list[Message]] = TypeAdapter(list[union])

    def encode(self, message: Message) -> bytes:
        """Return the CBOR form of a message."""
        return cbor2.dumps(self._adapter.dump_python(message))

    def decode(self, data: bytes) -> Message:
        """Return the message that the bytes hold.

        :raises MalformedMessageError: when they hold none; the text says what was wrong.
        """
        return _checked(self._adapter, data)

    def encode_all(self, messages: Sequence[Message]) -> bytes:
        """Return the CBOR form of several messages together."""
        dump = self._adapter.dump_python
        return cbor2.dumps([dump(message) for message in messages])

    def decode_all(self, data: bytes) -> list[Message]:
        """Return the messages that :meth:`encode_all` put together.

        :raises MalformedMessageError: when one of them is none; the text says what was wrong.
        """
        return _checked(self._list_adapter, data)


Checked = TypeVar("Checked")


def _checked(adapter: TypeAdapter[Checked], data: bytes) -> Checked:
    """Return what the bytes hold, checked."""
    try:
        return adapter.validate_python(cbor2.loads(data))
    except ValidationError as error:
        raise MalformedMessageError(_first_fault(error)) from error
    except (cbor2.CBORDecodeError, RecursionError, ValueError) as error:
        raise MalformedMessageError(f"not CBOR: {error}") from error


def _first_fault(error: ValidationError) -> str:
    """Return where the first fault stands and what it is, without the offending value."""
    fault = error.errors(include_input=False, include_url=False)[0]
    place = ".".join(str(part) for part in fault["loc"])
    return f"{place}: {fault['msg']}"

"""Messages to bytes and back: CBOR, checked against the message types on the way in."""

from __future__ import annotations

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

    def encode(self, message: Message) -> bytes:
        """Return the CBOR form of a message."""
        return cbor2.dumps(self._adapter.dump_python(message))

    def decode(self, data: bytes) -> Message:
        """Return the message that the bytes hold.

        :raises MalformedMessageError: when they hold none; the text says what was wrong.
        """
        try:
            return self._adapter.validate_python(cbor2.loads(data))
        except ValidationError as error:
            raise MalformedMessageError(_first_fault(error)) from error
        except (cbor2.CBORDecodeError, RecursionError, ValueError) as error:
            raise MalformedMessageError(f"not CBOR: {error}") from error


def _first_fault(error: ValidationError) -> str:
    """Return where the first fault stands and what it is, without the offending value."""
    fault = error.errors(include_input=False, include_url=False)[0]
    place = ".".join(str(part) for part in fault["loc"])
    return f"{place}: {fault['msg']}"

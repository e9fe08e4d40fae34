"""Heads of HTTP/1.1 messages, and the faults of a connection that carries them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bergamotchute_model.headers import Headers

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection alone, RFC 9110 section 7.6.1."""


class EndpointFailure(Exception):
    """An exchange with an endpoint ended without a whole answer.

    :param reason: what was seen, for logs.
    :param sent: whether a byte of the request may have reached the endpoint.
    """

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@dataclass(frozen=True)
class RequestHead:
    """The head of a request.

    :param target: path and query, as sent.
    :param headers: names in lower case, in the order sent.
    """

    method: str
    target: str
    headers: Headers

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty text."""
        return first_value(self.headers, name)


@dataclass(frozen=True)
class AnswerHead:
    """The head of an answer.

    :param headers: names in lower case, in the order sent.
    """

    status: int
    headers: Headers

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty text."""
        return first_value(self.headers, name)


def first_value(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty text."""
    return next((value for known, value in headers if known == name), "")


def without_hop_headers(headers: Headers) -> Headers:
    """Drop the headers that concern one connection, and those that ``Connection`` names."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    dropped = HOP_HEADERS | named
    return tuple((name, value) for name, value in headers if name not in dropped)


def text_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return h11's headers as text."""
    return tuple((name.decode("ascii"), value.decode("latin-1")) for name, value in raw)


def raw_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers in the form that h11 takes."""
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]

"""Heads of HTTP/1.1 messages, and the failure of an exchange with an endpoint."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bergamotchute_model.headers import Headers

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that apply to a single connection, RFC 9110 section 7.6.1."""


MAX_STATUS = 599
"""Highest status of HTTP, RFC 9110 section 15; the library accepts all numbers of three digits."""


class EndpointFailure(Exception):
    """An exchange with an endpoint ended without a complete response.

    :param reason: the cause, for logs and callers.
    :param may_have_arrived: whether a byte of the request may have reached the endpoint.
    :param connection_ended: whether the endpoint closed or reset the connection.
    :param detail: what a library says of the cause, for logs only.
    """

    def __init__(
        self,
        reason: str,
        may_have_arrived: bool,
        connection_ended: bool = False,
        detail: str = "",
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_arrived = may_have_arrived
        self.connection_ended = connection_ended
        self.detail = detail


@dataclass(frozen=True)
class RequestHead:
    """The head of a request.

    :param target: the path and query as received.
    :param headers: pairs of a lower-case name and a value, in their order in the message.
    """

    method: str
    target: str
    headers: Headers

    def get_header(self, name: str) -> str:
        """Return the first value of a header, or an empty string if it is absent."""
        return first_header_value(self.headers, name)


@dataclass(frozen=True)
class ResponseHead:
    """The head of a response.

    :param headers: pairs of a lower-case name and a value, in their order in the message.
    """

    status: int
    headers: Headers

    def get_header(self, name: str) -> str:
        """Return the first value of a header, or an empty string if it is absent."""
        return first_header_value(self.headers, name)

    def get_all_headers(self, name: str) -> tuple[str, ...]:
        """Return all values of a header, in their order in the message."""
        return tuple(value for known, value in self.headers if known == name)


def first_header_value(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty string if it is absent."""
    return next((value for known, value in headers if known == name), "")


def without_hop_by_hop_headers(headers: Headers) -> Headers:
    """Drop the hop-by-hop headers, and those that ``Connection`` names."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return tuple((name, value) for name, value in headers if name not in dropped)


def decode_headers(raw: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Convert h11's headers to text."""
    return tuple((name.decode("ascii"), value.decode("latin-1")) for name, value in raw)


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Convert headers to the bytes that h11 expects."""
    return [(name.encode("ascii"), value.encode("latin-1")) for name, value in headers]

"""Identifiers of processes, requests and attempts."""

from __future__ import annotations

from dataclasses import dataclass

MAX_PORT_LENGTH = 5


@dataclass(frozen=True, order=True)
class Address:
    """An IP address with a TCP port.

    :param host: the IP address, without brackets.
    :param port: the TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``HOST:PORT``.

        :raises ValueError: if the text has another format or the port is out of range.
        """
        host, separator, port = text.rpartition(":")
        is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_LENGTH
        if not separator or not host or not is_number or not 0 < int(port) < 65536:
            raise ValueError(f"expected HOST:PORT with a port from 1 to 65535, found {text!r}")
        return cls(host.strip("[]"), int(port))


@dataclass(frozen=True, order=True)
class AttemptId:
    """Identifies an attempt of a request at one incarnation of an endpoint.

    A reply is accepted only if it carries the complete identifier, so that a late response, or one
    from an earlier incarnation of either side, never reaches another caller.

    :param request_id: the request; unique across all entries.
    :param number: number of the attempt, from 1.
    :param endpoint: name of the endpoint.
    :param incarnation: identifies the run of the endpoint's agent; new at each start.
    :param entry_epoch: identifies the run of the entry that dispatched the attempt; new at each
        start.
    :param serial: increases with each attempt of one entry epoch, so that an agent can distinguish
        attempts that it may have discarded from those that never reached it.
    """

    request_id: str
    number: int
    endpoint: str
    incarnation: str
    entry_epoch: str
    serial: int = 0

    def __str__(self) -> str:
        return f"{self.request_id}#{self.number}@{self.endpoint}/{self.incarnation}"


@dataclass(frozen=True, order=True)
class ClaimKey:
    """Identifies a non-idempotent request across repeated sends.

    :param team: the team that sent the request; keys of different teams are independent.
    :param service: the service that the request is for.
    :param key: the caller's idempotency key.
    """

    team: str
    service: str
    key: str

"""Identifiers of processes, requests and attempts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Address:
    """A TCP address by IP number.

    :param host: the IP number, without brackets.
    :param port: the TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Read ``HOST:PORT``.

        :raises ValueError: when the text has another form or the port is out of range.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError(f"expected HOST:PORT with a port from 1 to 65535, found {text!r}")
        return cls(host.strip("[]"), int(port))


@dataclass(frozen=True, order=True)
class AttemptId:
    """One try of one request at one life of one endpoint.

    A reply counts only when it carries the whole identifier, so that an answer that comes late,
    or from an earlier life of either side, can never reach another caller.

    :param request_id: the request; unique over all entries.
    :param number: the try, from 1.
    :param endpoint: the name of the endpoint.
    :param incarnation: the life of the endpoint's agent, fresh at each start.
    :param entry_epoch: the life of the entry that dispatched the attempt, fresh at each start.
    :param serial: grows with each attempt of one entry epoch, so that an agent can tell attempts
        that it may have forgotten from those that never reached it.
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
    """What makes a non-idempotent request one and the same over resends.

    :param team: the team that sent it; teams never share keys.
    :param service: the service it is for.
    :param key: the caller's idempotency key.
    """

    team: str
    service: str
    key: str

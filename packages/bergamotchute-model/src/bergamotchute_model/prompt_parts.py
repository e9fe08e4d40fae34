"""Parts of prompts and requests that may crash endpoints, and what processes tell of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

REQUEST_PREFIX = "request-"
"""Begins the name of a request; the identifier of a part has hexadecimal digits only."""


def request_name(digest: str) -> str:
    """Return the name of the requests with a digest, as a suspect."""
    return REQUEST_PREFIX + digest


@dataclass(frozen=True, order=True)
class Suspect:
    """What may crash the endpoints of a service: a part of prompts, or one request.

    :param part: the identifier of the part, as callers send it, or the name of the request.
    """

    service: str
    part: str

    @property
    def is_request(self) -> bool:
        """Whether the suspect is one request, which has nothing in common with others."""
        return self.part.startswith(REQUEST_PREFIX)


@dataclass(frozen=True)
class Crash:
    """A crash of one incarnation of an endpoint.

    :param parts: the requests that waited for their first event there, by name, and the parts of
        their prompts, as far as no answer had cleared them.
    """

    service: str
    endpoint: str
    born_ms: int
    parts: tuple[str, ...]


@dataclass(frozen=True)
class QuarantinedPart:
    """A suspect whose requests are rejected.

    :param left_s: the rest of its quarantine, in seconds.
    :param quarantine_count: how often it was quarantined.
    :param crashes: the endpoints that it crashed, with their incarnations.
    """

    part: Suspect
    left_s: float
    quarantine_count: int
    crashes: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class Clearance:
    """An operator cleared a suspect.

    :param crashes: what was held against it, as endpoints with their incarnations.
    """

    part: Suspect
    crashes: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class PromptEvidence:
    """What the sender learnt of suspects, or all that it knows.

    :param crashes: crashes, each with its age in seconds.
    :param sound: suspects of which a request got an answer.
    :param probed: suspects of which a request was sent just now.
    :param quarantined: suspects that the sender rejects.
    :param cleared: suspects that an operator clears now, whatever is held against them.
    :param clearances: what operators cleared; earlier builds don't read it.
    """

    crashes: tuple[tuple[Crash, float], ...] = ()
    sound: tuple[Suspect, ...] = ()
    probed: tuple[Suspect, ...] = ()
    quarantined: tuple[QuarantinedPart, ...] = ()
    cleared: tuple[Suspect, ...] = ()
    kind: Literal["prompt_evidence"] = "prompt_evidence"
    clearances: tuple[Clearance, ...] = ()

"""Parts of prompts, and what processes tell each other of those that may crash endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, order=True)
class Suspect:
    """What may crash the endpoints of a service: a part of prompts, or one request.

    :param part: the identifier of the part, as callers send it, or the name of the request.
    """

    service: str
    part: str


@dataclass(frozen=True)
class Crash:
    """A crash of one incarnation of an endpoint.

    :param parts: the parts of the requests that waited for their first event there, as far as no
        answer had cleared them.
    """

    service: str
    endpoint: str
    born_ms: int
    parts: tuple[str, ...]


@dataclass(frozen=True)
class QuarantinedPart:
    """A part whose requests are rejected.

    :param left_s: the rest of its quarantine, in seconds.
    :param quarantine_count: how often it was quarantined.
    :param crashes: the endpoints that it crashed, with their incarnations.
    """

    part: Suspect
    left_s: float
    quarantine_count: int
    crashes: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class PromptEvidence:
    """What the sender learnt of prompt parts, or all that it knows.

    :param crashes: crashes, each with its age in seconds.
    :param sound: suspects of which a request got an answer.
    :param probed: suspects of which a request was sent just now.
    :param quarantined: parts that the sender rejects.
    :param cleared: parts that an operator cleared.
    """

    crashes: tuple[tuple[Crash, float], ...] = ()
    sound: tuple[Suspect, ...] = ()
    probed: tuple[Suspect, ...] = ()
    quarantined: tuple[QuarantinedPart, ...] = ()
    cleared: tuple[Suspect, ...] = ()
    kind: Literal["prompt_evidence"] = "prompt_evidence"

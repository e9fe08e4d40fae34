"""What callers, operators and endpoints saw in a run, and the promises that it breaks.

The checks use no code of the product.
"""

from __future__ import annotations

import hashlib
import json
import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import accumulate

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which an entry says that a request has not run and never will."""

STREAM_EVENTS = 8
"""Events of a whole stream."""

APPLY_S = 2.0
"""How long after its acknowledgement a version may not yet be in force at an entry."""


@dataclass(frozen=True)
class CallerAnswer:
    """What a caller got for one request.

    :param status: 0 when the connection ended without a response.
    :param is_whole: whether the response was complete.
    :param seal: the endpoint's signature; empty without one.
    """

    request_id: str
    route: str
    sent_at: float
    status: int
    is_whole: bool
    seal: str
    body: bytes


@dataclass(frozen=True)
class ConfigurationRead:
    """One answer to a read of the configuration.

    :param asked_at: when the read was sent, in seconds.
    :param answered_at: when its answer was there, in seconds.
    :param digest: of the content; see :func:`configuration_digest`.
    """

    host: str
    asked_at: float
    answered_at: float
    version: int
    digest: str


@dataclass(frozen=True)
class ConfigurationPut:
    """The first put of a valid version.

    :param sent_at: in seconds.
    :param digest: of the content; see :func:`configuration_digest`.
    """

    sent_at: float
    digest: str


@dataclass(frozen=True)
class VersionInForce:
    """The version by which one entry routes, as a probe showed.

    :param incarnation: counts the starts of the entry's process.
    :param asked_at: when the probe was sent, in seconds.
    """

    entry: str
    incarnation: int
    version: int
    asked_at: float


@dataclass
class History:
    """All observations of one run, in their order.

    :param runs: how often each request ran, by request and endpoint.
    :param puts: the valid versions that were put.
    :param acknowledged: when each version was first acknowledged.
    :param refused_versions: versions that are invalid and must not be acknowledged.
    :param final_versions: what each control VM returned at the end; ``None`` without an answer.
    :param recovered_at: since when all faults are repaired, so that bounds of time hold.
    :param ended: processes that had ended at the end, though each that a fault ended was started again.
    :param entry_starts: when each process of an entry was started, by address and incarnation.
    """

    answers: list[CallerAnswer] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    puts: dict[int, ConfigurationPut] = field(default_factory=dict)
    acknowledged: dict[int, float] = field(default_factory=dict)
    refused_versions: set[int] = field(default_factory=set)
    reads: list[ConfigurationRead] = field(default_factory=list)
    in_force: list[VersionInForce] = field(default_factory=list)
    final_versions: dict[str, int | None] = field(default_factory=dict)
    recovered_at: float = float("-inf")
    ended: list[str] = field(default_factory=list)
    deadly_arrivals: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    entry_starts: dict[tuple[str, int], float] = field(default_factory=dict)

    def acknowledged_before(self, time: float) -> int:
        """Return the newest version that was acknowledged before a time; 0 if there is none."""
        return max((version for version, at in self.acknowledged.items() if at < time), default=0)


def plain_body(request_id: str) -> bytes:
    """Return the body that an endpoint gives to a plain request."""
    return f"answer to {request_id}".encode()


def stream_event(request_id: str, number: int) -> bytes:
    """Return one event of the stream that an endpoint gives to a request."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def configuration_digest(text: str | bytes) -> str:
    """Return the digest of a configuration, whatever the order of its fields."""
    return hashlib.sha256(json.dumps(json.loads(text), sort_keys=True).encode()).hexdigest()


def find_violations(history: History) -> list[str]:
    """Return each broken promise in a line."""
    checks = (
        find_foreign_answers,
        find_repeated_runs,
        find_false_refusals,
        find_old_reads,
        find_foreign_reads,
        find_stalled_puts,
        find_regressions,
        find_old_starts,
        find_late_configurations,
        find_lost_configurations,
        find_surplus_crashes,
        find_ended_processes,
    )
    return [line for check in checks for line in check(history)]


def find_foreign_answers(history: History) -> Iterator[str]:
    """Find successes that are not the caller's own whole answer."""
    for answer in history.answers:
        if answer.status != 200 or not answer.is_whole:
            continue
        expected = plain_body(answer.request_id)
        if answer.route == "stream":
            numbers = range(1, STREAM_EVENTS + 1)
            expected = b"".join(stream_event(answer.request_id, number) for number in numbers)
        if answer.body != expected or not answer.seal:
            yield f"{answer.request_id}: a success with a foreign, partial or unsigned answer"


def find_repeated_runs(history: History) -> Iterator[str]:
    """Find requests that may run once and ran more often."""
    for answer in history.answers:
        if answer.route == "order" and history.runs[answer.request_id] > 1:
            yield f"{answer.request_id}: ran {history.runs[answer.request_id]} times"


def find_false_refusals(history: History) -> Iterator[str]:
    """Find requests that ran although their caller was told that they had not."""
    for answer in history.answers:
        is_promise = answer.status in NOT_RUN_STATUSES and answer.route == "order"
        if is_promise and history.runs[answer.request_id]:
            yield f"{answer.request_id}: ran, and status {answer.status} said that it had not"


def find_old_reads(history: History) -> Iterator[str]:
    """Find reads that returned a version older than one acknowledged or read before."""
    seen = [(at, version) for version, at in history.acknowledged.items()]
    seen += [(read.answered_at, read.version) for read in history.reads]
    seen.sort()
    times = [at for at, _ in seen]
    newest = [0, *accumulate((version for _, version in seen), max)]
    for read in history.reads:
        expected = newest[bisect_left(times, read.asked_at)]
        if read.version < expected:
            yield (
                f"{read.host} returned version {read.version} at {read.answered_at:.3f} s;"
                f" {expected} was acknowledged or read before {read.asked_at:.3f} s"
            )


def find_foreign_reads(history: History) -> Iterator[str]:
    """Find reads that returned a version before it was put, or with other content."""
    for read in history.reads:
        put = history.puts.get(read.version)
        if put is None or put.sent_at > read.answered_at:
            yield f"{read.host} returned version {read.version}, which had not been put"
        elif put.digest != read.digest:
            yield f"{read.host} returned version {read.version} with other content than was put"


def find_stalled_puts(history: History) -> Iterator[str]:
    """Find that no change was acknowledged after the recovery."""
    newest = max(history.acknowledged.values(), default=0.0)
    if newest < history.recovered_at:
        yield "no change was acknowledged after the recovery"


def find_regressions(history: History) -> Iterator[str]:
    """Find entries that went back to an older version, and invalid versions in force."""
    newest: dict[tuple[str, int], int] = {}
    for seen in history.in_force:
        key = (seen.entry, seen.incarnation)
        if seen.version < newest.get(key, 0):
            yield f"{seen.entry} went back from version {newest[key]} to {seen.version}"
        newest[key] = max(newest.get(key, 0), seen.version)
    for version in history.refused_versions & {seen.version for seen in history.in_force}:
        yield f"version {version} is invalid and was in force"
    for version in history.refused_versions & history.acknowledged.keys():
        yield f"version {version} is invalid and was acknowledged"


def find_old_starts(history: History) -> Iterator[str]:
    """Find entries that routed by a version older than one acknowledged before they started."""
    for seen in history.in_force:
        started_at = history.entry_starts.get((seen.entry, seen.incarnation), -math.inf)
        due = history.acknowledged_before(started_at)
        if seen.version < due:
            yield f"{seen.entry} routed by {seen.version}; {due} was acknowledged before its start"


def find_late_configurations(history: History) -> Iterator[str]:
    """Find entries that routed by a version that had been replaced for long, without a fault."""
    for seen in history.in_force:
        due = history.acknowledged_before(seen.asked_at - APPLY_S)
        if seen.asked_at > history.recovered_at and seen.version < due:
            yield f"{seen.entry} routed by {seen.version} over {APPLY_S:.0f} s after {due}"


def find_lost_configurations(history: History) -> Iterator[str]:
    """Find acknowledged versions that the last read at a control VM does not return."""
    newest = max(history.acknowledged, default=0)
    if newest and not history.final_versions:
        yield f"no control VM was read at the end; {newest} was acknowledged"
    for host, version in history.final_versions.items():
        if version is None:
            yield f"{host} returned no configuration at the end; {newest} was acknowledged"
        elif version < newest:
            yield f"{host} returned version {version} at the end; {newest} was acknowledged"


def find_ended_processes(history: History) -> Iterator[str]:
    """Find processes that ended by themselves."""
    for name in history.ended:
        yield f"{name} ended by itself"


STABLE_WINDOW_S = 3.0
MAX_DEADLY_ARRIVALS = 3
LAST_FREE_CRASH = 5


def find_surplus_crashes(history: History) -> Iterator[str]:
    """Find more than three deadly requests at endpoints, long after the fifth crash."""
    if len(history.crashes) < LAST_FREE_CRASH:
        return
    after = history.crashes[LAST_FREE_CRASH - 1] + STABLE_WINDOW_S
    late = sum(at > after for at in history.deadly_arrivals)
    if late > MAX_DEADLY_ARRIVALS:
        yield f"{late} deadly requests reached endpoints after the fifth crash"

"""Size and processor time of each message between processes: ``make bench`` runs it.

Writes docs/data/bench_messages.json: for each message, bytes of CBOR, and microseconds to encode
and to decode it with the checks that a link makes. Lists are measured at several lengths, so that
a slope a member and a fixed part can be told apart.
"""

from __future__ import annotations

import json
import platform
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from bergamotchute_model.attempt_messages import (
    AttemptMessage,
    EndpointLoad,
    ResponseChunk,
    StartAttempt,
)
from bergamotchute_model.commands import RecordedResponse, SettleClaim, TakeClaim
from bergamotchute_model.control_messages import (
    Announce,
    ControlMessage,
    LeaseGrant,
    MembershipDelta,
    Ping,
    Propose,
    RenewLease,
    ViewDelta,
)
from bergamotchute_model.identifiers import Address, AttemptId, ClaimKey
from bergamotchute_model.membership import EndpointAnnouncement, EntryAnnouncement
from bergamotchute_model.view import FileInForce
from bergamotchute_policy.address_answer import order_entries
from bergamotchute_wire.message_codec import MessageCodec

DATA = Path(__file__).resolve().parent.parent / "docs" / "data" / "bench_messages.json"
LENGTHS = (1, 10, 100)
ROUNDS = 5
ROUND_S = 0.02
FILE_CHARACTERS = 2000

ATTEMPT = AttemptId("entry-0123-000012345678", 1, "drafts-04321", "a1b2c3d4e5f60718", "18070605")


def endpoint(index: int) -> EndpointAnnouncement:
    """Return an announcement of usual size."""
    return EndpointAnnouncement(
        endpoint=f"drafts-{index:05d}",
        incarnation="a1b2c3d4e5f60718",
        sequence=1234,
        vm=f"vm-{index:05d}",
        availability_zone="milano-a",
        address=Address("10.120.130.140", 7100),
        services=("drafting",),
        slots=16,
    )


def entry(index: int) -> EntryAnnouncement:
    """Return an entry's announcement of usual size."""
    return EntryAnnouncement(
        entry=f"entry-{index:04d}",
        epoch="18070605a1b2c3d4",
        sequence=1234,
        vm=f"vm-{index:05d}",
        availability_zone="milano-a",
        address=Address("10.120.130.141", 8080),
        spare=0.625,
    )


def control_messages() -> dict[str, Any]:
    """Return the messages of the control plane by the name of their figure."""
    key = ClaimKey("team-0123", "order-desk", "0f8fad5b-d9cb-469f-a165-70867728950e")
    outcome = RecordedResponse(201, (("content-type", "application/json"),), b"x" * 300)
    claim = TakeClaim(key, "d" * 64, ATTEMPT)
    found: dict[str, Any] = {
        "ping": Ping(123456),
        "renew_lease": RenewLease(123456, 1234567),
        "lease_grant": LeaseGrant(123456, 3.2171, 1234567),
        "announce_endpoint": Announce(endpoints=(endpoint(1),)),
        "announce_entry": Announce(entries=(entry(1),)),
        "propose_take_claim": Propose("entry-0123-000012345678-1", claim),
        "propose_settle_claim": Propose(
            "entry-0123-000012345678-2", SettleClaim(key, ATTEMPT, outcome)
        ),
    }
    for length in LENGTHS:
        members = tuple(endpoint(index) for index in range(length))
        entries = tuple(entry(index) for index in range(length))
        text = "x" * FILE_CHARACTERS
        file = FileInForce("team-0123", 12, text, "d" * 64, 1234567)
        found[f"membership_endpoints_{length}"] = MembershipDelta(endpoints=members)
        found[f"membership_entries_{length}"] = MembershipDelta(entries=entries)
        found[f"view_delta_files_{length}"] = ViewDelta(1, 2, (file,) * length)
    return found


def attempt_messages() -> dict[str, Any]:
    """Return the messages of the request path by the name of their figure."""
    headers = (("content-type", "application/json"), ("accept", "text/event-stream"))
    load = EndpointLoad("drafts-04321", "a1b2c3d4e5f60718", 123456, 12, 3, 4567, 16)
    chunk = b"data: " + b"x" * 150 + b"\n\n"
    return {
        "endpoint_load": load,
        "answer_chunk": ResponseChunk(ATTEMPT, 123, chunk),
        "start_attempt": StartAttempt(
            attempt=ATTEMPT,
            service="drafting",
            method="POST",
            path="/v1/chat/completions",
            headers=headers,
            body=b"x" * 4000,
            deadline_s=30.0,
            idempotent=True,
            priority=1,
        ),
    }


def microseconds(work: Callable[[], object]) -> float:
    """Return the best of several rounds, in microseconds a call."""
    best = float("inf")
    for _ in range(ROUNDS):
        calls = 0
        began = time.process_time()
        while time.process_time() - began < ROUND_S:
            work()
            calls += 1
        best = min(best, (time.process_time() - began) / calls * 1e6)
    return round(best, 2)


def measure(union: Any, messages: dict[str, Any]) -> dict[str, dict[str, float]]:
    """Return bytes and times of each message."""
    codec: MessageCodec[Any] = MessageCodec(union)
    figures: dict[str, dict[str, float]] = {}
    for name, message in messages.items():
        data = codec.encode(message)
        figures[name] = {
            "bytes": len(data),
            "encode_us": microseconds(lambda message=message: codec.encode(message)),  # type: ignore[misc]
            "decode_us": microseconds(lambda data=data: codec.decode(data)),  # type: ignore[misc]
        }
    return figures


def choose_us(entries: int) -> float:
    """Return what it costs a relay to choose the entries for one question."""
    known = tuple(entry(index) for index in range(entries))
    return microseconds(lambda: order_entries(known, "milano-a", Random(1)))


def main() -> None:
    """Measure, print and write the figures."""
    figures = {
        "python": platform.python_version(),
        "file_characters": FILE_CHARACTERS,
        "choose_entries_us": {str(number): choose_us(number) for number in (8, 3100)},
        "messages": {
            **measure(ControlMessage, control_messages()),
            **measure(AttemptMessage, attempt_messages()),
        },
    }
    DATA.parent.mkdir(parents=True, exist_ok=True)
    DATA.write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")
    for name, figure in figures["messages"].items():  # type: ignore[attr-defined]
        print(f"{name:26}", figure)


if __name__ == "__main__":
    main()

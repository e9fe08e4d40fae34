"""What the replicated state costs a voter: ``python -m tools.bench_state``.

Fills a :class:`ControlState` to its stated bounds, stage by stage, and takes resident memory,
processor time a command, and the snapshot's size and time. Writes docs/data/bench_state.json.
"""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Iterable
from pathlib import Path

from bergamotchute_model.commands import (
    ApplyFile,
    Command,
    IssueFence,
    RecordedResponse,
    SettleClaim,
    TakeClaim,
)
from bergamotchute_model.identifiers import AttemptId, ClaimKey
from bergamotchute_state.claim_store import MAX_ENDED_CLAIMS, MAX_FINISHED_CLAIMS, MAX_OPEN_CLAIMS
from bergamotchute_state.control_state import ControlState
from bergamotchute_state.file_store import MAX_REMEMBERED_CHANGES
from tools.bench_relay_links import resident_bytes

DATA = Path(__file__).resolve().parent.parent / "docs" / "data" / "bench_state.json"
FILES = 990
FILE_TEXT = "x" * 2000
OUTCOME = RecordedResponse(201, (("content-type", "application/json"),), b"x" * 300)


def attempt(number: int) -> AttemptId:
    """Return an attempt's identifier of usual size."""
    return AttemptId(f"entry-0123-{number:012d}", 1, "orders-04321", "a1b2c3d4e5f6", "18070605")


def take(number: int) -> TakeClaim:
    """Return a claim on a key of usual size."""
    key = ClaimKey(f"team-{number % 990:04d}", "order-desk", f"0f8fad5b-d9cb-469f-{number:016d}")
    return TakeClaim(key, hashlib.sha256(b"%d" % number).hexdigest(), attempt(number))


def changes(count: int) -> Iterable[Command]:
    """Yield ``count`` changes over all files in turn."""
    for index in range(count):
        text = f"{index:08d}{FILE_TEXT}"
        digest = hashlib.sha256(text.encode()).hexdigest()
        yield ApplyFile(f"team-{index % FILES:04d}", index // FILES + 1, text, digest)


def ended_claims(count: int) -> Iterable[Command]:
    """Yield claims that are taken and settled."""
    for index in range(count):
        claim = take(index)
        yield claim
        yield SettleClaim(claim.key, claim.attempt, OUTCOME)


def open_claims(count: int) -> Iterable[Command]:
    """Yield claims that are taken and stay open."""
    return (take(10_000_000 + index) for index in range(count))


def fences(count: int) -> Iterable[Command]:
    """Yield fencing numbers for as many scopes."""
    return (IssueFence(f"runner-{index:05d}", "entry-1", f"g-{index}") for index in range(count))


def main() -> None:
    """Fill, measure, print and write."""
    state = ControlState()
    stages: list[tuple[str, Iterable[Command], int]] = [
        ("files", changes(FILES), FILES),
        ("changes", changes(MAX_REMEMBERED_CHANGES), MAX_REMEMBERED_CHANGES),
        ("finished_claims", ended_claims(MAX_FINISHED_CLAIMS), 2 * MAX_FINISHED_CLAIMS),
        ("ended_claims", ended_claims(MAX_ENDED_CLAIMS), 2 * MAX_ENDED_CLAIMS),
        ("open_claims", open_claims(MAX_OPEN_CLAIMS), MAX_OPEN_CLAIMS),
        ("fences", fences(10_000), 10_000),
    ]
    figures: dict[str, dict[str, float]] = {}
    revision = 0
    empty = resident_bytes()
    for name, commands, count in stages:
        rss, applied_s = resident_bytes(), 0.0
        for command in commands:
            revision += 1
            began = time.process_time()
            state.apply(command, revision)
            applied_s += time.process_time() - began
        figures[name] = {
            "commands": count,
            "apply_us": round(applied_s / count * 1e6, 2),
            "rss_added_bytes": resident_bytes() - rss,
        }
        print(name, figures[name], flush=True)
    began = time.process_time()
    snapshot = state.snapshot()
    written = time.process_time()
    ControlState().restore(snapshot)
    figures["whole"] = {
        "rss_added_bytes": resident_bytes() - empty,
        "snapshot_bytes": len(snapshot),
        "snapshot_s": round(written - began, 3),
        "restore_s": round(time.process_time() - written, 3),
    }
    print("whole", figures["whole"])
    DATA.write_text(json.dumps(figures, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()

"""Work out docs/CAPACITY.md: ``python -m tools.capacity [--write]``.

Takes the slopes in docs/data/*.json, the constants of the code, and the sizes below; gives each
role's state, messages, processor time and memory, at the full size and today, and at twice the
full size to tell what breaks first. Without ``--write`` it checks that the page has these figures.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from bergamotchute_daemon.address_book import REPORT_MAX_AGE_S
from bergamotchute_daemon.agent import LOAD_REPORT_INTERVAL_S
from bergamotchute_daemon.control_client import LEASE_RENEWAL_INTERVAL_S
from bergamotchute_daemon.relay import CANDIDATE_ENTRY_COUNT
from bergamotchute_state.claim_store import MAX_ENDED_CLAIMS
from bergamotchute_state.file_store import MAX_REMEMBERED_CHANGES
from bergamotchute_wire.web_socket_link import HEARTBEAT_S

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
TEXT = ROOT / "docs" / "data" / "capacity_words.md"
FRAME_BYTES = 46
DAY_S = 86_400
CORE_US_PER_S = 1_000_000
MEGABYTE = 1_000_000
CHANGE_PEAK = 10
SPARE_STEP_S = 60
MEMBER_BYTES = 1500


@dataclass(frozen=True)
class Size:
    """How large a deployment is.

    :param nodes: entry VMs.
    :param runners: endpoints, each with an agent.
    :param control_vms: VMs set aside for voters and relays.
    :param watched: endpoints that one entry keeps links to.
    :param claims_per_s: non-idempotent requests a second.
    """

    name: str
    nodes: int
    runners: int
    ranks: int
    requests_per_s: float
    changes_per_day: float
    files: int
    control_vms: int
    voters: int
    watched: int
    claims_per_s: float
    restarts_per_day: float

    @property
    def relays(self) -> int:
        """Return the VMs that relay."""
        return max(1, self.control_vms - self.voters)

    @property
    def children(self) -> float:
        """Return the children of one relay."""
        return (self.nodes + self.runners) / self.relays

    @property
    def changes_per_s(self) -> float:
        """Return the mean rate of configuration changes."""
        return self.changes_per_day / DAY_S

    @property
    def watchers(self) -> float:
        """Return the entries that watch one endpoint."""
        return self.nodes * self.watched / self.runners

    def times(self, factor: int) -> Size:
        """Return a deployment that much larger, on as many control VMs."""
        return replace(
            self,
            name=f"{factor}x",
            nodes=self.nodes * factor,
            runners=self.runners * factor,
            ranks=self.ranks * factor,
            requests_per_s=self.requests_per_s * factor,
            changes_per_day=self.changes_per_day * factor,
            files=self.files * factor,
            claims_per_s=self.claims_per_s * factor,
            restarts_per_day=self.restarts_per_day * factor,
        )


TODAY = Size("today", 8, 19, 16 * 8, 20, 200, 12, 3, 3, 19, 0.5, 10)
FULL = Size("full", 3100, 10_000, 80_000, 50_000, 58_000, 1000, 26, 5, 32, 500, 890)


class Slopes:
    """Measured figures by file and name."""

    def __init__(self, folder: Path) -> None:
        self.files = {
            path.stem: json.loads(path.read_text(encoding="utf-8"))
            for path in folder.glob("*.json")
        }
        self.messages = self.files["bench_messages"]["messages"]
        self.relay = self.files["bench_relay_links"]["slopes"]
        self.state = self.files["bench_state"]

    def bytes(self, message: str) -> float:
        """Return the bytes of a message on the wire, framing and headers included."""
        return float(self.messages[message]["bytes"]) + FRAME_BYTES

    def each(self, name: str, field: str) -> float:
        """Return the growth of a list message's figure a member."""
        one, many = self.messages[f"{name}_1"], self.messages[f"{name}_100"]
        return (float(many[field]) - float(one[field])) / 99

    @property
    def view_bytes(self) -> float:
        """Return the bytes of one file change on the wire."""
        return self.bytes("view_delta_files_1")

    def state_bytes(self, stage: str) -> float:
        """Return resident bytes a command of one stage of the state."""
        figures = self.state[stage]
        return float(figures["rss_added_bytes"]) / float(figures["commands"])


@dataclass(frozen=True)
class Line:
    """One figure of the page.

    :param unit: ``B/s``, ``us/s``, ``MB``, ``/s`` or empty for a plain count.
    :param budget: what it may be at most; ``None`` where the letter sets none.
    :param basis: ``measured`` (a slope times a count) or ``reckoned`` (partly assumed).
    """

    role: str
    name: str
    value: Callable[[Size], float]
    unit: str
    budget: float | None
    mechanism: str
    basis: str = "measured"


NODE_US_PER_S = 0.049 * CORE_US_PER_S
NODE_BYTES_PER_S = 4096.0
NODE_MB = 128.0
VM_US_PER_S = float(CORE_US_PER_S)


def lines(slopes: Slopes) -> list[Line]:
    """Return every figure."""
    return [
        *_entry(slopes),
        *_agent(slopes),
        *_relay(slopes),
        *_voter(slopes),
        *_group(),
        *_operator(slopes),
    ]


def _ping_bytes_per_s(links: float) -> float:
    """Return heartbeat bytes of links: a ping of one side and the pong of the other."""
    return links * 2 * FRAME_BYTES / HEARTBEAT_S


def _lease_bytes_per_s(s: Slopes, announce: str) -> float:
    return (
        s.bytes("renew_lease") + s.bytes("lease_grant") + s.bytes(announce)
    ) / LEASE_RENEWAL_INTERVAL_S


def _entry(s: Slopes) -> list[Line]:
    load_us = s.messages["endpoint_load"]["decode_us"]
    link_us = s.relay["idle_link_us_per_s"]
    half_us = s.relay["renewal_us"] / 2
    member_us = s.each("membership_endpoints", "decode_us")
    view_us = s.messages["view_delta_files_1"]["decode_us"]
    entry_bytes = s.each("membership_entries", "bytes")
    return [
        Line("entry", "links to agents", lambda z: z.watched, "", None, "bounded subset a service"),
        Line(
            "entry",
            "lease, announcement, heartbeat to its relay",
            lambda z: _lease_bytes_per_s(s, "announce_entry") + _ping_bytes_per_s(1),
            "B/s",
            NODE_BYTES_PER_S,
            "one relay link; nested leases",
        ),
        Line(
            "entry",
            "configuration changes, mean",
            lambda z: z.changes_per_s * s.view_bytes,
            "B/s",
            NODE_BYTES_PER_S,
            "deltas of whole files",
        ),
        Line(
            "entry",
            f"configuration changes, {CHANGE_PEAK} times the mean",
            lambda z: CHANGE_PEAK * z.changes_per_s * s.view_bytes,
            "B/s",
            NODE_BYTES_PER_S,
            "deltas of whole files",
            "reckoned",
        ),
        Line(
            "entry",
            "load reports and heartbeats of watched agents",
            lambda z: z.watched * s.bytes("endpoint_load") / LOAD_REPORT_INTERVAL_S
            + _ping_bytes_per_s(z.watched),
            "B/s",
            NODE_BYTES_PER_S,
            "agent's report to each watcher",
        ),
        Line(
            "entry",
            "members: endpoints that come and go",
            lambda z: 2 * z.restarts_per_day / DAY_S * s.bytes("membership_endpoints_1"),
            "B/s",
            NODE_BYTES_PER_S,
            "relay's membership deltas",
        ),
        Line(
            "entry",
            "addresses for callers of one zone, asked of the relay",
            lambda z: (2 * FRAME_BYTES + min(CANDIDATE_ENTRY_COUNT, z.nodes) * entry_bytes)
            / REPORT_MAX_AGE_S,
            "B/s",
            NODE_BYTES_PER_S,
            "a report of the best candidates, kept a second",
        ),
        Line(
            "entry",
            "processor: links, leases, load reports, changes",
            lambda z: (z.watched + 1) * link_us
            + 2 * half_us / LEASE_RENEWAL_INTERVAL_S
            + z.watched / LOAD_REPORT_INTERVAL_S * (half_us + load_us)
            + z.changes_per_s * (half_us + view_us),
            "us/s",
            NODE_US_PER_S,
            "one task a link",
        ),
        Line(
            "entry",
            "processor: one full resync of members",
            lambda z: (z.runners + z.nodes) * member_us,
            "us",
            None,
            "complete membership at each new relay link",
        ),
        Line(
            "entry",
            "memory: process, links, view, members",
            lambda z: (
                s.relay["process_bytes"]
                + z.watched * s.relay["link_bytes"]
                + z.files * s.state_bytes("files")
                + (z.nodes + z.runners) * MEMBER_BYTES
            )
            / MEGABYTE,
            "MB",
            NODE_MB,
            "whole view and all members in each entry",
            "reckoned",
        ),
    ]


def _agent(s: Slopes) -> list[Line]:
    load_us = s.messages["endpoint_load"]["encode_us"]
    half_us = s.relay["renewal_us"] / 2
    return [
        Line("agent", "entries that watch it", lambda z: z.watchers, "", None, "subsets kept even"),
        Line(
            "agent",
            "lease, announcement, heartbeat to its relay",
            lambda z: _lease_bytes_per_s(s, "announce_endpoint") + _ping_bytes_per_s(1),
            "B/s",
            NODE_BYTES_PER_S,
            "one relay link",
        ),
        Line(
            "agent",
            "load reports and heartbeats to watchers",
            lambda z: z.watchers * s.bytes("endpoint_load") / LOAD_REPORT_INTERVAL_S
            + _ping_bytes_per_s(z.watchers),
            "B/s",
            NODE_BYTES_PER_S,
            "report to each watcher",
        ),
        Line(
            "agent",
            "configuration changes, mean",
            lambda z: z.changes_per_s * s.view_bytes,
            "B/s",
            NODE_BYTES_PER_S,
            "deltas of whole files",
        ),
        Line(
            "agent",
            "processor: links, lease, load reports",
            lambda z: (z.watchers + 1) * s.relay["idle_link_us_per_s"]
            + 2 * half_us / LEASE_RENEWAL_INTERVAL_S
            + z.watchers / LOAD_REPORT_INTERVAL_S * (half_us + load_us),
            "us/s",
            NODE_US_PER_S,
            "one task a link",
        ),
        Line(
            "agent",
            "memory: process, links, view",
            lambda z: (
                s.relay["process_bytes"]
                + z.watchers * s.relay["link_bytes"]
                + z.files * s.state_bytes("files")
            )
            / MEGABYTE,
            "MB",
            NODE_MB,
            "whole view in each agent",
            "reckoned",
        ),
    ]


def _relay(s: Slopes) -> list[Line]:
    idle_us, renewal_us = float(s.relay["idle_link_us_per_s"]), float(s.relay["renewal_us"])
    view_us, member_us = float(s.relay["view_us"]), float(s.relay["member_us"])
    choose_us = float(s.files["bench_messages"]["choose_entries_us"]["3100"])

    def processor(z: Size, children: float) -> float:
        return (
            children * (idle_us + renewal_us / LEASE_RENEWAL_INTERVAL_S)
            + children * z.changes_per_s * view_us
            + children * 2 * z.restarts_per_day / DAY_S * member_us
        )

    return [
        Line("relay", "children", lambda z: z.children, "", None, "even spread over relays"),
        Line(
            "relay",
            "processor: links, renewals, changes to children",
            lambda z: processor(z, z.children),
            "us/s",
            VM_US_PER_S,
            "own VM; one encoding a child",
        ),
        Line(
            "relay",
            "processor while one of its zone's two relays is down",
            lambda z: processor(z, 2 * z.children),
            "us/s",
            VM_US_PER_S,
            "children move over, jittered",
        ),
        Line(
            "relay",
            f"processor: spare shares of all entries, a step every {SPARE_STEP_S} s, over relays",
            lambda z: 2 * z.nodes / SPARE_STEP_S * member_us,
            "us/s",
            VM_US_PER_S,
            "membership deltas between relays",
            "reckoned",
        ),
        Line(
            "relay",
            "processor: choosing entries for its children's callers",
            lambda z: z.nodes
            / z.relays
            / REPORT_MAX_AGE_S
            * (choose_us * z.nodes / 3100 + renewal_us / 2),
            "us/s",
            VM_US_PER_S,
            "each question looks at all entries",
        ),
        Line(
            "relay",
            "network: children's leases and the changes to them",
            lambda z: z.children
            * (
                _lease_bytes_per_s(s, "announce_entry")
                + _ping_bytes_per_s(1)
                + z.changes_per_s * s.view_bytes
            ),
            "B/s",
            None,
            "deltas; leases",
        ),
        Line(
            "relay",
            "memory: process, links, view, members",
            lambda z: (
                s.relay["process_bytes"]
                + z.children * s.relay["link_bytes"]
                + z.files * s.state_bytes("files")
                + (z.nodes + z.runners) * MEMBER_BYTES
            )
            / MEGABYTE,
            "MB",
            NODE_MB,
            "whole view, all members",
            "reckoned",
        ),
    ]


def _voter(s: Slopes) -> list[Line]:
    apply_us = s.state["changes"]["apply_us"]
    claim_us = s.state["ended_claims"]["apply_us"]
    claims = s.files["bench_control"]["claims"]
    leader_us = next(
        float(row["leader_processor_us_per_claim"]) for row in claims if row["proposers"] == 64
    )
    stages = ("changes", "finished_claims", "ended_claims", "open_claims", "fences")
    full_mb = sum(float(s.state[stage]["rss_added_bytes"]) for stage in stages) / MEGABYTE
    return [
        Line("control voter", "links from relays", lambda z: z.relays, "", None, "relays only"),
        Line(
            "control voter",
            "log entries: changes, and two for each claim",
            lambda z: z.changes_per_s + 2 * z.claims_per_s,
            "/s",
            None,
            "group commit",
            "reckoned",
        ),
        Line(
            "control voter",
            "processor: applying them",
            lambda z: z.changes_per_s * apply_us + 2 * z.claims_per_s * claim_us,
            "us/s",
            VM_US_PER_S,
            "replicated state machine",
        ),
        Line(
            "control voter",
            "processor of the leader: claims, 64 under way together",
            lambda z: z.claims_per_s * leader_us,
            "us/s",
            VM_US_PER_S,
            "group commit",
        ),
        Line(
            "control voter",
            "memory: process, and the state at its stated bounds",
            lambda z: s.relay["process_bytes"] / MEGABYTE
            + z.files * s.state_bytes("files") / MEGABYTE
            + full_mb,
            "MB",
            NODE_MB,
            "bounds on claims and digests",
        ),
        Line(
            "control voter",
            "snapshot at those bounds",
            lambda z: float(s.state["whole"]["snapshot_bytes"]) / MEGABYTE,
            "MB",
            None,
            "one CBOR value",
        ),
        Line(
            "control voter",
            "the event loop stands still while it is encoded",
            lambda z: float(s.state["whole"]["snapshot_s"]) * 1e6,
            "us",
            None,
            "one call",
        ),
        Line(
            "control voter",
            "horizon of a file's resend",
            lambda z: MAX_REMEMBERED_CHANGES / z.changes_per_s / 3600,
            "h",
            None,
            "digests of the newest changes",
        ),
        Line(
            "control voter",
            "horizon of a claim",
            lambda z: MAX_ENDED_CLAIMS / z.claims_per_s / 3600,
            "h",
            None,
            "ended claims in 24 bytes each",
            "reckoned",
        ),
    ]


def _group() -> list[Line]:
    return [
        Line(
            "rank-group coordinator",
            "groups of 256 ranks, one coordinator each",
            lambda z: z.ranks / 256,
            "",
            None,
            "a fence a group",
        ),
        Line(
            "rank-group coordinator",
            "messages of one map change in one group: prepare, ready, decide, confirm",
            lambda z: 4 * min(256, z.ranks),
            "",
            None,
            "two rounds over all ranks, decision in the log between them",
            "reckoned",
        ),
        Line(
            "rank-group coordinator",
            "decisions in the log, a change an hour a group",
            lambda z: 2 * z.ranks / 256 / 3600,
            "/s",
            None,
            "replicated state machine",
            "reckoned",
        ),
    ]


def _operator(s: Slopes) -> list[Line]:
    return [
        Line("operator API", "files applied, mean", lambda z: z.changes_per_s, "/s", None, "log"),
        Line(
            "operator API",
            "bytes of one full `show`",
            lambda z: z.files * s.each("view_delta_files", "bytes"),
            "B",
            None,
            "whole files",
        ),
    ]


def _format(value: float, unit: str) -> str:
    if unit == "us/s":
        return f"{value / CORE_US_PER_S:.1%} of a core"
    if unit == "us":
        return f"{value / 1000:,.1f} ms"
    number = f"{value:,.0f}" if value >= 100 else f"{value:,.3g}"
    return f"{number} {unit}".rstrip()


def _table(found: list[Line]) -> list[str]:
    rows = []
    for role in dict.fromkeys(line.role for line in found):
        rows += [f"## {role[0].upper()}{role[1:]}", ""]
        rows += ["| what | today | full size | budget | carried by | basis |"]
        rows += ["|---|---|---|---|---|---|"]
        for line in found:
            if line.role == role:
                full = line.value(FULL)
                over = line.budget is not None and full > line.budget
                budget = "" if line.budget is None else _format(line.budget, line.unit)
                rows.append(
                    f"| {line.name} | {_format(line.value(TODAY), line.unit)} "
                    f"| {'**' if over else ''}{_format(full, line.unit)}{'**' if over else ''} "
                    f"| {budget} | {line.mechanism} | {line.basis} |"
                )
        rows.append("")
    return rows


def _over(found: list[Line]) -> list[str]:
    rows = ["## Over budget at the full size", ""]
    for line in found:
        if line.budget is not None and line.value(FULL) > line.budget:
            ratio = line.value(FULL) / line.budget
            rows.append(
                f"- {line.role}: {line.name}: {_format(line.value(FULL), line.unit)}, "
                f"{ratio:.1f} times the budget"
            )
    return [*rows, ""]


def _breaks_first(found: list[Line]) -> list[str]:
    """Return the lines that are within budget at the full size and not at twice it."""
    twice = FULL.times(2)
    rows = ["## What breaks first at twice the size", ""]
    rows += ["Within budget at the full size, over it at twice that on as many control VMs:", ""]
    broken = [
        (line.value(twice) / line.budget, line)
        for line in found
        if line.budget is not None and line.value(FULL) <= line.budget < line.value(twice)
    ]
    for ratio, line in sorted(broken, key=lambda pair: -pair[0]):
        rows.append(f"- {line.role}: {line.name}: {ratio:.1f} times the budget")
    if not broken:
        rows.append("- none; what is over budget already only gets worse")
    return [*rows, ""]


def page() -> str:
    """Return the whole page."""
    found = lines(Slopes(ROOT / "docs" / "data"))
    words = TEXT.read_text(encoding="utf-8").split("<!-- tables -->\n")
    tables = [*_table(found), *_over(found), *_breaks_first(found)]
    return words[0] + "\n".join(tables) + words[1]


def main() -> int:
    """Check the page, or write it; return the exit code."""
    parser = argparse.ArgumentParser(description="Work out docs/CAPACITY.md.")
    parser.add_argument("--write", action="store_true", help="write the page")
    options = parser.parse_args()
    if options.write:
        PAGE.write_text(page(), encoding="utf-8")
    elif not PAGE.exists() or PAGE.read_text(encoding="utf-8") != page():
        print("docs/CAPACITY.md differs from its data; run python -m tools.capacity --write")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""``bergamotchute losses``: why requests were not served in time, by cause and second."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import anyio

from bergamotchute_cli._loss_picture import draw_losses
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.loss_ledger import LossCause, LossLedger, book_losses
from bergamotchute_cli.options import Commands, add_command
from bergamotchute_cli.timeline import EventFiles, merge

DESCRIPTION = """Book each request that was not served in time to one cause.

SOURCE is a file with the log of one or more processes, or a folder of *.jsonl files. Only what
entries log counts.

  bergamotchute losses out/logs
  bergamotchute losses out/logs --by-second --picture out/losses.svg
"""


def add_losses_command(commands: Commands) -> None:
    """Add ``losses`` to the commands of ``bergamotchute``."""
    parser = add_command(commands, "losses", "why requests were not served in time", DESCRIPTION)
    parser.add_argument("sources", nargs="+", type=Path, metavar="SOURCE", help="file or folder")
    parser.add_argument("--by-second", action="store_true", help="also a row for each second")
    parser.add_argument("--picture", type=Path, metavar="FILE", help="also draw FILE as SVG")
    parser.set_defaults(run=run_losses)


def run_losses(options: argparse.Namespace) -> int:
    """Print the table; return 2 when a source can't be read."""
    try:
        records = merge(anyio.run(EventFiles(options.sources).read))
        ledger = book_losses(records)
        print("\n".join(cause_rows(ledger)))
        if options.by_second:
            print("\n".join(["", *second_rows(ledger)]))
        if options.picture:
            options.picture.write_text(draw_losses(ledger), encoding="utf-8")
    except OSError as error:
        print(f"losses: {error}", file=sys.stderr)
        return ExitCode.USAGE
    return ExitCode.OK


def cause_rows(ledger: LossLedger) -> list[str]:
    """Return the table by cause, the costliest first."""
    asked = sum(ledger.asked.values())
    lost = sum(ledger.losses.values())
    rows = [f"{asked} requests, {asked - lost} in time, {lost} not", ""]
    rows.append(f"{'cause':<42} {'requests':>8} {'of lost':>8} {'worst second':>13}")
    for cause, count in ledger.by_cause().most_common():
        worst = ledger.worst_second(cause)
        rows.append(f"{cause:<42} {count:>8} {count / lost:>8.3f} {worst:>13}")
    return rows


def second_rows(ledger: LossLedger) -> list[str]:
    """Return a row for each second in which something was lost."""
    rows = [f"{'second':>6} {'asked':>6} {'in time':>8}  lost"]
    for second in ledger.seconds:
        lost = {cause: ledger.losses[second, cause] for cause in LossCause}
        named = ", ".join(f"{cause}: {count}" for cause, count in lost.items() if count)
        if named:
            in_time = ledger.asked[second] - sum(lost.values())
            rows.append(f"{second:>6} {ledger.asked[second]:>6} {in_time:>8}  {named}")
    return rows

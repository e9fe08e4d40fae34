"""``bergamotchute losses``: why requests were not served in time, by cause and second."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import anyio

from bergamotchute_cli._loss_chart import draw_loss_chart
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_cli.loss_report import LossCause, LossReport, attribute_losses
from bergamotchute_cli.options import Subcommands, add_command
from bergamotchute_cli.timeline import EventFileReader, merge_events

DESCRIPTION = """Attribute each request that was not served in time to one cause.

SOURCE is a log file of one or more processes, or a folder of *.jsonl files. Only the events of
entries are used.

  bergamotchute losses out/logs
  bergamotchute losses out/logs --by-second --picture out/losses.svg
"""


def add_losses_command(commands: Subcommands) -> None:
    """Add the ``losses`` subcommand."""
    parser = add_command(commands, "losses", "why requests were not served in time", DESCRIPTION)
    parser.add_argument("sources", nargs="+", type=Path, metavar="SOURCE", help="file or folder")
    parser.add_argument("--by-second", action="store_true", help="also print a row for each second")
    parser.add_argument(
        "--picture", type=Path, metavar="FILE", help="also draw a chart to FILE as SVG"
    )
    parser.set_defaults(run=run_losses)


def run_losses(options: argparse.Namespace) -> int:
    """Print the tables and return the exit code, 2 when a source can't be read."""
    try:
        records = merge_events(anyio.run(EventFileReader(options.sources).read))
        report = attribute_losses(records)
        print("\n".join(format_cause_table(report)))
        if options.by_second:
            print("\n".join(["", *format_second_table(report)]))
        if options.picture:
            options.picture.write_text(draw_loss_chart(report), encoding="utf-8")
    except OSError as error:
        print(f"losses: {error}", file=sys.stderr)
        return ExitCode.USAGE
    return ExitCode.OK


def format_cause_table(report: LossReport) -> list[str]:
    """Return the lines of a table of causes, most losses first."""
    request_count = sum(report.request_counts.values())
    loss_count = sum(report.losses.values())
    rows = [f"{request_count} requests, {request_count - loss_count} in time, {loss_count} not", ""]
    rows.append(f"{'cause':<42} {'requests':>8} {'of lost':>8} {'worst second':>13}")
    for cause, count in report.count_by_cause().most_common():
        worst = report.worst_second(cause)
        rows.append(f"{cause:<42} {count:>8} {count / loss_count:>8.3f} {worst:>13}")
    return rows


def format_second_table(report: LossReport) -> list[str]:
    """Return the lines of a table of the seconds that have losses."""
    rows = [f"{'second':>6} {'asked':>6} {'in time':>8}  lost"]
    for second in report.seconds:
        loss_counts = {cause: report.losses[second, cause] for cause in LossCause}
        causes_text = ", ".join(
            f"{cause}: {count}" for cause, count in loss_counts.items() if count
        )
        if causes_text:
            in_time = report.request_counts[second] - sum(loss_counts.values())
            rows.append(
                f"{second:>6} {report.request_counts[second]:>6} {in_time:>8}  {causes_text}"
            )
    return rows

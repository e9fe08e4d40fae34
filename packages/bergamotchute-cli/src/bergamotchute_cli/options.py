"""Options that several commands share, with their environment variables."""

from __future__ import annotations

import argparse
import os
from pathlib import Path
from typing import TypeAlias

import httpx

from bergamotchute_cli.command_error import usage_error
from bergamotchute_cli.entries import Entries
from bergamotchute_model.identifiers import Address

ENTRIES_VARIABLE = "BERGAMOTCHUTE_ENTRIES"
ADMIN_TOKEN_FILE_VARIABLE = "BERGAMOTCHUTE_ADMIN_TOKEN_FILE"
TOKEN_FILE_VARIABLE = "BERGAMOTCHUTE_TOKEN_FILE"
DEFAULT_PATIENCE_S = 30.0

Commands: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def add_command(commands: Commands, name: str, summary: str, text: str) -> argparse.ArgumentParser:
    """Add a command whose help is ``text``, as written."""
    return commands.add_parser(
        name,
        help=summary,
        description=text,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )


def add_output_option(parser: argparse.ArgumentParser) -> None:
    """Add ``--output``."""
    parser.add_argument("--output", choices=("text", "json"), default="text")


def add_entry_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that say which entries to ask, and how long."""
    parser.add_argument(
        "--entries",
        default=os.environ.get(ENTRIES_VARIABLE, ""),
        metavar="HOST:PORT,...",
        help=f"entries to ask, in order (${ENTRIES_VARIABLE})",
    )
    parser.add_argument(
        "--patience",
        type=_seconds,
        default=DEFAULT_PATIENCE_S,
        metavar="SECONDS",
        help=f"how long to go on trying (default: {DEFAULT_PATIENCE_S:g})",
    )


def add_admin_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of commands for operators."""
    add_entry_options(parser)
    parser.add_argument(
        "--admin-token-file",
        default=os.environ.get(ADMIN_TOKEN_FILE_VARIABLE, ""),
        metavar="FILE",
        help=f"file with the operators' token (${ADMIN_TOKEN_FILE_VARIABLE})",
    )


def admin_entries(options: argparse.Namespace) -> Entries:
    """Return the entries, with the operators' token.

    :raises CommandError: when an option is missing or wrong.
    """
    token = read_token("--admin-token-file", options.admin_token_file, ADMIN_TOKEN_FILE_VARIABLE)
    return Entries(entry_addresses(options), token, options.patience, transport_of(options))


def entry_addresses(options: argparse.Namespace) -> tuple[Address, ...]:
    """Return the addresses of ``--entries``.

    :raises CommandError: when there is none or one is wrong.
    """
    if not options.entries:
        raise usage_error(f"--entries: give HOST:PORT,... or set {ENTRIES_VARIABLE}")
    try:
        return tuple(Address.parse(text.strip()) for text in options.entries.split(","))
    except ValueError as error:
        raise usage_error(f"--entries: {error}") from error


def read_token(flag: str, path: str, variable: str) -> str:
    """Return the token in a file.

    :raises CommandError: when it can't be read.
    """
    if not path:
        raise usage_error(f"{flag}: give a file or set {variable}")
    try:
        token = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise usage_error(f"{flag}: can't read {path}: {error}") from error
    if not token or not token.isascii() or not token.isprintable():
        raise usage_error(f"{flag}: {path} holds no token")
    return token


def transport_of(options: argparse.Namespace) -> httpx.AsyncBaseTransport | None:
    """Return what stands in for the network; ``None`` for the network itself."""
    transport: httpx.AsyncBaseTransport | None = getattr(options, "transport", None)
    return transport


def _seconds(text: str) -> float:
    """Read a positive number of seconds.

    :raises argparse.ArgumentTypeError: for anything else.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= 86_400:
        raise argparse.ArgumentTypeError(f"expected seconds above 0, found {text!r}")
    return seconds

"""Options shared by several commands, and their environment variables."""

from __future__ import annotations

import argparse
import os
from pathlib import Path
from typing import TypeAlias

import httpx

from bergamotchute_cli.command_error import usage_error
from bergamotchute_cli.entry_client import EntryClient
from bergamotchute_model.identifiers import Address

ENTRIES_VARIABLE = "BERGAMOTCHUTE_ENTRIES"
ADMIN_TOKEN_FILE_VARIABLE = "BERGAMOTCHUTE_ADMIN_TOKEN_FILE"
TOKEN_FILE_VARIABLE = "BERGAMOTCHUTE_TOKEN_FILE"
DEFAULT_PATIENCE_S = 30.0

Subcommands: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def add_command(
    commands: Subcommands, name: str, summary: str, text: str
) -> argparse.ArgumentParser:
    """Add a subcommand; ``text`` is its help, shown without reflowing."""
    return commands.add_parser(
        name,
        help=summary,
        description=text,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )


def add_output_option(parser: argparse.ArgumentParser) -> None:
    """Add the ``--output`` option, text or JSON."""
    parser.add_argument("--output", choices=("text", "json"), default="text")


def add_entry_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for the entries to use and the time to keep retrying."""
    parser.add_argument(
        "--entries",
        default=os.environ.get(ENTRIES_VARIABLE, ""),
        metavar="HOST:PORT,...",
        help=f"entries to use, in order (${ENTRIES_VARIABLE})",
    )
    parser.add_argument(
        "--patience",
        type=_parse_seconds,
        default=DEFAULT_PATIENCE_S,
        metavar="SECONDS",
        help=f"how long to keep retrying (default: {DEFAULT_PATIENCE_S:g})",
    )


def add_admin_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of commands that need the operators' token."""
    add_entry_options(parser)
    parser.add_argument(
        "--admin-token-file",
        default=os.environ.get(ADMIN_TOKEN_FILE_VARIABLE, ""),
        metavar="FILE",
        help=f"file with the operators' token (${ADMIN_TOKEN_FILE_VARIABLE})",
    )


def create_admin_client(options: argparse.Namespace) -> EntryClient:
    """Return a client of the entries that sends the operators' token.

    :raises CommandError: when an option is missing or invalid.
    """
    token = read_token("--admin-token-file", options.admin_token_file, ADMIN_TOKEN_FILE_VARIABLE)
    return EntryClient(
        parse_entry_addresses(options), token, options.patience, get_transport(options)
    )


def parse_entry_addresses(options: argparse.Namespace) -> tuple[Address, ...]:
    """Parse the addresses of ``--entries``.

    :raises CommandError: when there is no address or one is malformed.
    """
    if not options.entries:
        raise usage_error(f"--entries: give HOST:PORT,... or set {ENTRIES_VARIABLE}")
    try:
        return tuple(Address.parse(text.strip()) for text in options.entries.split(","))
    except ValueError as error:
        raise usage_error(f"--entries: {error}") from error


def read_token(flag: str, path: str, variable: str) -> str:
    """Return the token in a file.

    :raises CommandError: when no file is given, the file can't be read or holds no valid token.
    """
    if not path:
        raise usage_error(f"{flag}: give a file or set {variable}")
    try:
        token = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise usage_error(f"{flag}: can't read {path}: {error}") from error
    if not token or not token.isascii() or not token.isprintable():
        raise usage_error(
            f"{flag}: {path} is empty or contains non-printable or non-ASCII characters"
        )
    return token


def get_transport(options: argparse.Namespace) -> httpx.AsyncBaseTransport | None:
    """Return the transport that tests set to replace the network; ``None`` for the network."""
    transport: httpx.AsyncBaseTransport | None = getattr(options, "transport", None)
    return transport


def _parse_seconds(text: str) -> float:
    """Parse a number of seconds above 0, up to a day.

    :raises argparse.ArgumentTypeError: for anything else.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= 86_400:
        raise argparse.ArgumentTypeError(
            f"expected seconds above 0 and up to 86400, found {text!r}"
        )
    return seconds

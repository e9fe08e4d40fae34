"""Fetch the configuration files in force from an entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.entry_client import EntryClient, format_problem, parse_json_object
from bergamotchute_cli.exit_code import ExitCode

FILES_PATH = "/v1/admin/files"


@dataclass(frozen=True)
class FileInForce:
    """A configuration file in force, as an entry returns it.

    :param revision: the revision at which it came into force.
    :param digest: lower-case SHA-256 of the text.
    """

    name: str
    number: int
    revision: int
    digest: str
    text: str


async def fetch_files_in_force(entries: EntryClient) -> list[FileInForce]:
    """Return the files in force, sorted by name.

    :raises CommandError: when no entry answers, or an entry refuses or returns a malformed list.
    """
    response = await entries.send_request("GET", FILES_PATH)
    if response.status_code != 200:
        raise CommandError(ExitCode.REFUSED, format_problem(response))
    try:
        files = [_parse_file(document) for document in parse_json_object(response)["files"]]
    except (KeyError, TypeError, ValueError) as error:
        raise CommandError(ExitCode.REFUSED, "the entry's answer can't be read") from error
    return sorted(files, key=lambda file: file.name)


def _parse_file(document: dict[str, Any]) -> FileInForce:
    """Parse one file of a response.

    :raises KeyError: when a field is missing.
    :raises TypeError: when the document or a field has the wrong type.
    :raises ValueError: when a number can't be parsed.
    """
    return FileInForce(
        str(document["file"]),
        int(document["number"]),
        int(document["revision"]),
        str(document["digest"]),
        str(document["text"]),
    )

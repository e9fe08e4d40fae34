"""The files in force, as an entry gives them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bergamotchute_cli.command_error import CommandError
from bergamotchute_cli.entries import Entries, problem_text, read_json
from bergamotchute_cli.exit_code import ExitCode

FILES_PATH = "/v1/admin/files"


@dataclass(frozen=True)
class ShownFile:
    """A file in force.

    :param revision: the revision at which it came into force.
    :param digest: lower-case SHA-256 of the text.
    """

    name: str
    number: int
    revision: int
    digest: str
    text: str


async def fetch_files(entries: Entries) -> list[ShownFile]:
    """Return the files in force, in the order of their names.

    :raises CommandError: when no entry tells.
    """
    response = await entries.ask("GET", FILES_PATH)
    if response.status_code != 200:
        raise CommandError(ExitCode.REFUSED, problem_text(response))
    try:
        files = [_read_file(document) for document in read_json(response)["files"]]
    except (KeyError, TypeError, ValueError) as error:
        raise CommandError(ExitCode.REFUSED, "the entry's answer can't be read") from error
    return sorted(files, key=lambda file: file.name)


def _read_file(document: dict[str, Any]) -> ShownFile:
    """Read one file of an answer.

    :raises KeyError: when a part is missing; :exc:`TypeError` or :exc:`ValueError` likewise.
    """
    return ShownFile(
        str(document["file"]),
        int(document["number"]),
        int(document["revision"]),
        str(document["digest"]),
        str(document["text"]),
    )

"""Operator files on the operator's disk."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from bergamotchute_cli.command_error import usage_error
from bergamotchute_model.configuration import merge
from bergamotchute_model.file_fault import Faults
from bergamotchute_model.parsed_file import ParsedFile, parse_file

SUFFIXES = (".yaml", ".yml")


@dataclass(frozen=True)
class LocalFile:
    """A file as it stands on disk.

    :param path: where it was found, for messages.
    """

    path: str
    text: str

    @property
    def digest(self) -> str:
        """Lower-case SHA-256 of the text."""
        return hashlib.sha256(self.text.encode()).hexdigest()


def read_local_files(paths: Sequence[str]) -> list[LocalFile]:
    """Read files, and of folders every file with a YAML suffix, in the order of their names.

    :raises CommandError: when one can't be read.
    """
    files: list[LocalFile] = []
    for given in map(Path, paths):
        found = sorted(p for p in given.iterdir() if p.suffix in SUFFIXES) if given.is_dir() else ()
        if given.is_dir() and not found:
            raise usage_error(f"{given}: the folder has no file that ends in .yaml")
        files.extend(_read(path) for path in found or (given,))
    return files


def _read(path: Path) -> LocalFile:
    """Read one file, byte for byte.

    :raises CommandError: when it can't be read.
    """
    try:
        return LocalFile(str(path), path.read_bytes().decode("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise usage_error(f"{path}: {error}") from error


def parse_all(files: Sequence[LocalFile]) -> Result[list[ParsedFile], Faults]:
    """Read each file by itself."""
    parsed: list[ParsedFile] = []
    faults: Faults = ()
    for file in files:
        read = parse_file(file.path, file.text)
        if isinstance(read, Err):
            faults += read.err_value
        else:
            parsed.append(read.ok_value)
    return Err(faults) if faults else Ok(parsed)


def check_together(parsed: Sequence[ParsedFile], others: Sequence[ParsedFile]) -> Faults:
    """Return the faults of files together with others, of which they replace those so named."""
    names = {file.content.file for file in parsed}
    kept = [file for file in others if file.content.file not in names]
    merged = merge([*parsed, *kept])
    return merged.err_value if isinstance(merged, Err) else ()

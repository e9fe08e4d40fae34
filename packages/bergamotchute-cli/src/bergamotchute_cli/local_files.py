"""Configuration files on the operator's disk."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from result import Err, Ok, Result

from bergamotchute_cli.command_error import usage_error
from bergamotchute_model.configuration import merge_files
from bergamotchute_model.file_fault import Faults
from bergamotchute_model.parsed_file import ParsedFile, parse_file

YAML_SUFFIXES = (".yaml", ".yml")


@dataclass(frozen=True)
class LocalFile:
    """A configuration file as stored on disk.

    :param path: where the file was found, for messages.
    """

    path: str
    text: str

    @property
    def digest(self) -> str:
        """Lower-case SHA-256 of the text."""
        return hashlib.sha256(self.text.encode()).hexdigest()


def read_local_files(paths: Sequence[str]) -> list[LocalFile]:
    """Read files; of a folder, read each file with a YAML suffix, sorted by name.

    :raises CommandError: when a file can't be read or a folder has no YAML file.
    """
    files: list[LocalFile] = []
    for root in map(Path, paths):
        found = (
            sorted(child for child in root.iterdir() if child.suffix in YAML_SUFFIXES)
            if root.is_dir()
            else ()
        )
        if root.is_dir() and not found:
            raise usage_error(f"{root}: the folder has no file that ends in .yaml")
        files.extend(_read_file(path) for path in found or (root,))
    return files


def _read_file(path: Path) -> LocalFile:
    """Read one file without translating line endings.

    :raises CommandError: when the file can't be read or is not UTF-8.
    """
    try:
        return LocalFile(str(path), path.read_bytes().decode("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise usage_error(f"{path}: {error}") from error


def parse_files(files: Sequence[LocalFile]) -> Result[list[ParsedFile], Faults]:
    """Parse each file separately."""
    parsed: list[ParsedFile] = []
    faults: Faults = ()
    for file in files:
        read = parse_file(file.path, file.text)
        if isinstance(read, Err):
            faults += read.err_value
        else:
            parsed.append(read.ok_value)
    return Err(faults) if faults else Ok(parsed)


def find_combined_faults(parsed: Sequence[ParsedFile], others: Sequence[ParsedFile]) -> Faults:
    """Return the faults of ``parsed`` merged with ``others``, replacing files of the same name."""
    replaced_names = {file.content.file for file in parsed}
    kept = [file for file in others if file.content.file not in replaced_names]
    merged = merge_files([*parsed, *kept])
    return merged.err_value if isinstance(merged, Err) else ()

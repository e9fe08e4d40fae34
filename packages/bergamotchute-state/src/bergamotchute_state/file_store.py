"""Operator files in force, and the digests of the contents of their recent numbers."""

from __future__ import annotations

import hashlib
from collections import deque
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from bergamotchute_model.commands import ApplyFile, ApplyOutcome, FileApplied
from bergamotchute_model.file_fault import Faults
from bergamotchute_model.view import FileInForce

if TYPE_CHECKING:
    from bergamotchute_model.parsed_file import ParsedFile

MAX_REMEMBERED_CHANGES = 174_000
MAX_FILES = 200
MAX_TOTAL_CHARACTERS = 16 * 1024 * 1024

_DIGEST_BYTES = 32
_REVISION_BYTES = 8
_HISTORY_RECORD_BYTES = _DIGEST_BYTES + _REVISION_BYTES


class _NumberHistory:
    """Digests and revisions of one file's newest consecutive numbers, in packed records."""

    def __init__(self, first_number: int, packed: bytes = b"") -> None:
        self.first_number = first_number
        self.packed = bytearray(packed)

    def append(self, digest: str, revision: int) -> None:
        """Append the record of the next number."""
        self.packed += bytes.fromhex(digest) + revision.to_bytes(_REVISION_BYTES, "big")

    def drop_first(self) -> None:
        """Drop the record of the lowest number."""
        del self.packed[:_HISTORY_RECORD_BYTES]
        self.first_number += 1

    def find(self, number: int) -> tuple[str, int] | None:
        """Return digest and revision of a number; ``None`` when it has no record."""
        start = (number - self.first_number) * _HISTORY_RECORD_BYTES
        if not 0 <= start < len(self.packed):
            return None
        revision_start = start + _DIGEST_BYTES
        digest = bytes(self.packed[start:revision_start])
        revision = int.from_bytes(
            self.packed[revision_start : start + _HISTORY_RECORD_BYTES], "big"
        )
        return digest.hex(), revision

    def revisions(self) -> list[int]:
        """Return the revisions of all recorded numbers, oldest first."""
        starts = range(_DIGEST_BYTES, len(self.packed), _HISTORY_RECORD_BYTES)
        return [int.from_bytes(self.packed[i : i + _REVISION_BYTES], "big") for i in starts]


class FileStore:
    """Files in force by name, ordered by last change.

    The digests of the newest :data:`MAX_REMEMBERED_CHANGES` changes over all names are kept, so
    that a command sent again gets the revision that the first one got.
    """

    def __init__(self) -> None:
        self.in_force: dict[str, FileInForce] = {}
        self.histories: dict[str, _NumberHistory] = {}
        self.order: deque[str] = deque()
        self.parsed_files: dict[str, ParsedFile] = {}

    def on_apply_file(self, command: ApplyFile, revision: int) -> FileApplied:
        """Put the file in force if it has the next number and valid content."""
        number = self._number_in_force(command.name)
        if command.number <= number:
            return self._answer_earlier_number(command, number)
        if command.number != number + 1:
            allowed = f"{command.name}: found number {command.number}; the next is {number + 1}"
            return FileApplied(ApplyOutcome.CONFLICT, 0, number, errors=(allowed,))
        faults = self._find_faults(command)
        if faults:
            return FileApplied(ApplyOutcome.INVALID, 0, number, errors=faults)
        self._put_in_force(command, revision)
        return FileApplied(ApplyOutcome.ACCEPTED, revision, command.number)

    def dump(self) -> list[Any]:
        """Return the files as plain lists, ordered by last change."""
        return [
            [
                file.name,
                file.number,
                file.text,
                file.digest,
                file.revision,
                self.histories[file.name].first_number,
                bytes(self.histories[file.name].packed),
            ]
            for file in self.in_force.values()
        ]

    @classmethod
    def load(cls, data: list[Any]) -> FileStore:
        """Restore the files from the output of :meth:`dump`."""
        files = cls()
        order: list[tuple[int, str]] = []
        for name, number, text, digest, revision, first_number, packed in data:
            files.in_force[name] = FileInForce(name, number, text, digest, revision)
            history = _NumberHistory(first_number, packed)
            files.histories[name] = history
            order.extend((accepted, name) for accepted in history.revisions())
        files.order.extend(name for _, name in sorted(order))
        return files

    def _number_in_force(self, name: str) -> int:
        """Return the number in force for ``name``; 0 when there is none."""
        file = self.in_force.get(name)
        return file.number if file else 0

    def _answer_earlier_number(self, command: ApplyFile, number: int) -> FileApplied:
        """Return the result for a number that is not above the one in force.

        It is a repeat or a conflict, or forgotten when its record was dropped.
        """
        if command.number < 1:
            allowed = f"{command.name}: found number {command.number}; the next is {number + 1}"
            return FileApplied(ApplyOutcome.CONFLICT, 0, number, errors=(allowed,))
        accepted_content = self._find_accepted_content(command.name, command.number)
        if accepted_content is None:
            return FileApplied(ApplyOutcome.FORGOTTEN, 0, number)
        digest, revision = accepted_content
        if digest == command.digest and digest == _sha256_hex(command.text):
            return FileApplied(ApplyOutcome.REPEATED, revision, number)
        return FileApplied(ApplyOutcome.CONFLICT, revision, number, winner_digest=digest)

    def _find_accepted_content(self, name: str, number: int) -> tuple[str, int] | None:
        """Return digest and revision of the content accepted as ``number``, if still recorded."""
        file = self.in_force[name]
        if number == file.number:
            return file.digest, file.revision
        return self.histories[name].find(number)

    def _find_faults(self, command: ApplyFile) -> tuple[str, ...]:
        """Return the faults that keep a file with the next number from coming into force."""
        if command.digest != _sha256_hex(command.text):
            return (f"{command.name}: the digest is not that of the text",)
        # Importing the schema of files takes a fifth of the start-up time of a control VM, which
        # needs the schema only here.
        from bergamotchute_model.parsed_file import parse_file

        read = parse_file(command.name, command.text)
        if isinstance(read, Err):
            return _fault_lines(read.err_value)
        content = read.ok_value.content
        if (content.file, content.number) != (command.name, command.number):
            found = f"{content.file} number {content.number}"
            return (f"{command.name} number {command.number}: the text declares {found}",)
        faults = self._find_faults_with_other_files(command.name, read.ok_value, len(command.text))
        if not faults:
            self.parsed_files[command.name] = read.ok_value
        return faults

    def _find_faults_with_other_files(
        self, name: str, file: ParsedFile, text_length: int
    ) -> tuple[str, ...]:
        """Return the faults of a file merged with all other files in force."""
        files = [file]
        for other in self.in_force:
            if other == name:
                continue
            read = self._parse_in_force(other)
            if isinstance(read, Err):
                return _fault_lines(read.err_value)
            files.append(read.ok_value)
        if len(files) > MAX_FILES:
            return (f"{name}: at most {MAX_FILES} files are allowed",)
        size = sum(len(self.in_force[other].text) for other in self.in_force if other != name)
        if size + text_length > MAX_TOTAL_CHARACTERS:
            return (
                f"{name}: all files together may have at most {MAX_TOTAL_CHARACTERS} characters",
            )
        from bergamotchute_model.configuration import merge_files

        merged = merge_files(files)
        return _fault_lines(merged.err_value) if isinstance(merged, Err) else ()

    def _parse_in_force(self, name: str) -> Result[ParsedFile, Faults]:
        """Parse a file in force, or return the cached result.

        There are faults only if an older version of the software accepted the file.
        """
        if name not in self.parsed_files:
            from bergamotchute_model.parsed_file import parse_file

            read = parse_file(name, self.in_force[name].text)
            if isinstance(read, Err):
                return read
            self.parsed_files[name] = read.ok_value
        return Ok(self.parsed_files[name])

    def _put_in_force(self, command: ApplyFile, revision: int) -> None:
        """Put a valid file in force and make it the last changed."""
        name = command.name
        self.in_force.pop(name, None)
        self.in_force[name] = FileInForce(
            name, command.number, command.text, command.digest, revision
        )
        history = self.histories.setdefault(name, _NumberHistory(command.number))
        history.append(command.digest, revision)
        self.order.append(name)
        if len(self.order) > MAX_REMEMBERED_CHANGES:
            self.histories[self.order.popleft()].drop_first()


def _sha256_hex(text: str) -> str:
    """Return the SHA-256 of a text in lower-case hexadecimal."""
    return hashlib.sha256(text.encode(errors="surrogatepass")).hexdigest()


def _fault_lines(faults: Faults) -> tuple[str, ...]:
    """Return one line for each fault."""
    return tuple(str(fault) for fault in faults)

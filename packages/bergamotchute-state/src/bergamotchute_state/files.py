"""Operator files in force, and which content held each of their recent numbers."""

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

KEPT_CHANGES = 174_000
FILES_MAX = 200
FILES_MAX_BYTES = 16 * 1024 * 1024

_DIGEST_BYTES = 32
_REVISION_BYTES = 8
_RECORD_BYTES = _DIGEST_BYTES + _REVISION_BYTES


class _History:
    """The digests and revisions of one file's newest numbers, packed without gaps."""

    def __init__(self, first: int, packed: bytes = b"") -> None:
        self.first = first
        self.packed = bytearray(packed)

    def append(self, digest: str, revision: int) -> None:
        """Keep the next number."""
        self.packed += bytes.fromhex(digest) + revision.to_bytes(_REVISION_BYTES, "big")

    def drop_first(self) -> None:
        """Forget the lowest number."""
        del self.packed[:_RECORD_BYTES]
        self.first += 1

    def find(self, number: int) -> tuple[str, int] | None:
        """Return digest and revision of a number that is kept."""
        start = (number - self.first) * _RECORD_BYTES
        if not 0 <= start < len(self.packed):
            return None
        middle = start + _DIGEST_BYTES
        digest = bytes(self.packed[start:middle])
        revision = int.from_bytes(self.packed[middle : start + _RECORD_BYTES], "big")
        return digest.hex(), revision

    def revisions(self) -> list[int]:
        """Return the revisions of all kept numbers, oldest first."""
        starts = range(_DIGEST_BYTES, len(self.packed), _RECORD_BYTES)
        return [int.from_bytes(self.packed[i : i + _REVISION_BYTES], "big") for i in starts]


class Files:
    """Files in force by name, in the order of their last change.

    The newest :data:`KEPT_CHANGES` changes over all names are remembered by digest, so that a
    resend gets the answer that the first one got.
    """

    def __init__(self) -> None:
        self.in_force: dict[str, FileInForce] = {}
        self.histories: dict[str, _History] = {}
        self.order: deque[str] = deque()
        self.parsed: dict[str, ParsedFile] = {}

    def on_apply_file(self, command: ApplyFile, revision: int) -> FileApplied:
        """Put the file in force if its number is the next one and its content is valid."""
        number = self._number(command.name)
        if command.number <= number:
            return self._answer_earlier(command, number)
        if command.number != number + 1:
            allowed = f"{command.name}: found number {command.number}; the next is {number + 1}"
            return FileApplied(ApplyOutcome.CONFLICT, 0, number, errors=(allowed,))
        faults = self._faults(command)
        if faults:
            return FileApplied(ApplyOutcome.INVALID, 0, number, errors=faults)
        self._put(command, revision)
        return FileApplied(ApplyOutcome.ACCEPTED, revision, command.number)

    def dump(self) -> list[Any]:
        """Return the files as plain lists, in the order of their last change."""
        return [
            [
                file.name,
                file.number,
                file.text,
                file.digest,
                file.revision,
                self.histories[file.name].first,
                bytes(self.histories[file.name].packed),
            ]
            for file in self.in_force.values()
        ]

    @classmethod
    def load(cls, data: list[Any]) -> Files:
        """Read what :meth:`dump` gave."""
        files = cls()
        order: list[tuple[int, str]] = []
        for name, number, text, digest, revision, first, packed in data:
            files.in_force[name] = FileInForce(name, number, text, digest, revision)
            history = _History(first, packed)
            files.histories[name] = history
            order.extend((accepted, name) for accepted in history.revisions())
        files.order.extend(name for _, name in sorted(order))
        return files

    def _number(self, name: str) -> int:
        """Return the number in force under ``name``; 0 when there is none."""
        file = self.in_force.get(name)
        return file.number if file else 0

    def _answer_earlier(self, command: ApplyFile, number: int) -> FileApplied:
        """Answer a number that was given before: a resend, a conflict, or one long forgotten."""
        if command.number < 1:
            allowed = f"{command.name}: found number {command.number}; the next is {number + 1}"
            return FileApplied(ApplyOutcome.CONFLICT, 0, number, errors=(allowed,))
        kept = self._holder(command.name, command.number)
        if kept is None:
            return FileApplied(ApplyOutcome.FORGOTTEN, 0, number)
        digest, revision = kept
        if digest == command.digest and digest == _digest(command.text):
            return FileApplied(ApplyOutcome.REPEATED, revision, number)
        return FileApplied(ApplyOutcome.CONFLICT, revision, number, winner_digest=digest)

    def _holder(self, name: str, number: int) -> tuple[str, int] | None:
        """Return digest and revision of the content that holds ``number``, while kept."""
        file = self.in_force[name]
        if number == file.number:
            return file.digest, file.revision
        return self.histories[name].find(number)

    def _faults(self, command: ApplyFile) -> tuple[str, ...]:
        """Return what keeps a file with the next number from coming into force."""
        if command.digest != _digest(command.text):
            return (f"{command.name}: the digest is not that of the text",)
        # The schema of files takes a fifth of a control VM's start, which needs it only here.
        from bergamotchute_model.parsed_file import parse_file

        read = parse_file(command.name, command.text)
        if isinstance(read, Err):
            return _lines(read.err_value)
        content = read.ok_value.content
        if (content.file, content.number) != (command.name, command.number):
            found = f"{content.file} number {content.number}"
            return (f"{command.name} number {command.number}: the text says {found}",)
        faults = self._faults_with_others(command.name, read.ok_value, len(command.text))
        if not faults:
            self.parsed[command.name] = read.ok_value
        return faults

    def _faults_with_others(self, name: str, file: ParsedFile, text_length: int) -> tuple[str, ...]:
        """Return the faults of a file together with all others in force."""
        files = [file]
        for other in self.in_force:
            if other == name:
                continue
            read = self._parse_in_force(other)
            if isinstance(read, Err):
                return _lines(read.err_value)
            files.append(read.ok_value)
        if len(files) > FILES_MAX:
            return (f"{name}: at most {FILES_MAX} files are allowed",)
        size = sum(len(self.in_force[other].text) for other in self.in_force if other != name)
        if size + text_length > FILES_MAX_BYTES:
            return (f"{name}: all files together may have at most {FILES_MAX_BYTES} characters",)
        from bergamotchute_model.configuration import merge

        merged = merge(files)
        return _lines(merged.err_value) if isinstance(merged, Err) else ()

    def _parse_in_force(self, name: str) -> Result[ParsedFile, Faults]:
        """Return a file in force as it was read; faults only if an older version accepted it."""
        if name not in self.parsed:
            from bergamotchute_model.parsed_file import parse_file

            read = parse_file(name, self.in_force[name].text)
            if isinstance(read, Err):
                return read
            self.parsed[name] = read.ok_value
        return Ok(self.parsed[name])

    def _put(self, command: ApplyFile, revision: int) -> None:
        """Put a checked file in force as the last changed."""
        name = command.name
        self.in_force.pop(name, None)
        self.in_force[name] = FileInForce(
            name, command.number, command.text, command.digest, revision
        )
        history = self.histories.setdefault(name, _History(command.number))
        history.append(command.digest, revision)
        self.order.append(name)
        if len(self.order) > KEPT_CHANGES:
            self.histories[self.order.popleft()].drop_first()


def _digest(text: str) -> str:
    """Return the lower-case SHA-256 of a file."""
    return hashlib.sha256(text.encode(errors="surrogatepass")).hexdigest()


def _lines(faults: Faults) -> tuple[str, ...]:
    """Return one line a fault."""
    return tuple(str(fault) for fault in faults)

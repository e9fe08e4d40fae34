"""The HTTP interface for operators: apply files, list those in force, and read reports."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

import anyio

from bergamotchute_daemon._asgi import HttpRequestHead, Receive, Send, read_body, send_json
from bergamotchute_daemon.claim_client import ProposeCommand
from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.process_app import require_admin_token
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model import events
from bergamotchute_model.commands import ApplyFile, ApplyOutcome, FileApplied
from bergamotchute_model.parsed_file import parse_file
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError
from bergamotchute_model.verdict import Verdict

ADMIN_PREFIX = "/v1/admin/"
FILES_PATH = "/v1/admin/files"
MAX_FILE_BYTES = 1_048_576
APPLY_TIMEOUT_S = 10.0

STATUS_BY_OUTCOME = {
    ApplyOutcome.ACCEPTED: 200,
    ApplyOutcome.REPEATED: 200,
    ApplyOutcome.CONFLICT: 409,
    ApplyOutcome.INVALID: 422,
    ApplyOutcome.FORGOTTEN: 410,
}

MakeReport: TypeAlias = Callable[[HttpRequestHead], Awaitable[dict[str, Any]]]
"""Makes one report; raises :exc:`ProblemError`."""


@dataclass(frozen=True)
class AdminApi:
    """Answers requests of operators, who present the admin token.

    :param propose: has a command committed by the control group.
    :param reports: functions that make the further reports, by path, such as ``/v1/admin/status``.
    """

    admin_token: str
    view: ViewHolder
    propose: ProposeCommand
    reports: dict[str, MakeReport]
    log: EventLog

    async def answer(self, head: HttpRequestHead, receive: Receive, send: Send) -> None:
        """Answer one request.

        :raises ProblemError: when the request is refused.
        """
        require_admin_token(head, self.admin_token)
        if head.method == "PUT" and head.path.startswith(f"{FILES_PATH}/"):
            name = head.path.removeprefix(f"{FILES_PATH}/")
            await self._apply_file(name, await read_body(receive, MAX_FILE_BYTES), send)
        elif head.method == "GET" and head.path == FILES_PATH:
            await send_json(send, 200, self.files_in_force())
        elif head.method == "GET" and head.path in self.reports:
            await send_json(send, 200, await self.reports[head.path](head))
        else:
            raise ProblemError(
                Problem(
                    404,
                    ProblemCode.NOT_FOUND,
                    f"{head.method} {head.path} is not part of the admin API",
                )
            )

    def files_in_force(self) -> dict[str, Any]:
        """Return every file in force, with its text as applied.

        :raises ProblemError: when this entry's view isn't confirmed.
        """
        if not self.view.is_confirmed(anyio.current_time()):
            raise ProblemError(
                Problem(
                    503,
                    ProblemCode.VIEW_EXPIRED,
                    "this entry's view is not confirmed by a quorum; ask another entry",
                    retry=True,
                    retry_after_s=1.0,
                )
            )
        files = [
            {
                "file": file.name,
                "number": file.number,
                "revision": file.revision,
                "digest": file.digest,
                "text": file.text,
            }
            for file in sorted(self.view.files.values(), key=lambda file: file.name)
        ]
        return {"revision": self.view.revision, "files": files}

    async def _apply_file(self, name: str, body: bytes, send: Send) -> None:
        """Apply a file and send the outcome; a file is accepted as a whole or not at all."""
        command = _parse_apply_command(name, body)
        try:
            result = await self.propose(command, APPLY_TIMEOUT_S)
        except ControlUnavailable as error:
            raise ProblemError(_unknown_outcome_problem(name)) from error
        assert isinstance(result, FileApplied)
        accepted = STATUS_BY_OUTCOME[result.outcome] == 200
        kind = events.FILE_APPLIED if accepted else events.FILE_REFUSED
        self.log.emit(
            kind, revision=result.revision, file=name, number=command.number, outcome=result.outcome
        )
        document = {
            "outcome": str(result.outcome),
            "file": name,
            "number": result.number,
            "revision": result.revision,
            "digest": command.digest,
            "winner_digest": result.winner_digest,
            "errors": list(result.errors),
        }
        await send_json(send, STATUS_BY_OUTCOME[result.outcome], document)


def _parse_apply_command(name: str, body: bytes) -> ApplyFile:
    """Parse a file to get its name and number; the voters validate its content.

    :raises ProblemError: when this is no operator file, or its name differs from the path.
    """
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        detail = f"the file is not UTF-8: {error.reason} at byte {error.start}"
        raise ProblemError(Problem(422, ProblemCode.INVALID_FILE, detail)) from error
    parsed = parse_file(name, text)
    if parsed.is_err():
        detail = "\n".join(str(fault) for fault in parsed.unwrap_err())
        raise ProblemError(Problem(422, ProblemCode.INVALID_FILE, detail))
    content = parsed.unwrap().content
    if content.file != name:
        detail = f"field file is {content.file!r}, but the request path names {name!r}"
        raise ProblemError(Problem(422, ProblemCode.INVALID_FILE, detail))
    digest = hashlib.sha256(body).hexdigest()
    return ApplyFile(name, content.number, text, digest)


def _unknown_outcome_problem(name: str) -> Problem:
    return Problem(
        503,
        ProblemCode.CONTROL_UNAVAILABLE,
        f"no answer from the control group: file {name} may be in force; apply it again",
        Verdict.MAY_HAVE_RUN,
        retry=True,
        retry_after_s=2.0,
    )

"""The operators' interface: apply files, and see what is in force and how far it has reached."""

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
APPLY_BOUND_S = 10.0

STATUSES = {
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
    """Answers operators, who present the admin token.

    :param propose: has a command committed.
    :param reports: further reports by path, such as ``/v1/admin/status``.
    """

    admin_token: str
    view: ViewHolder
    propose: ProposeCommand
    reports: dict[str, MakeReport]
    log: EventLog

    async def answer(self, head: HttpRequestHead, receive: Receive, send: Send) -> None:
        """Answer one request.

        :raises ProblemError: when it is refused.
        """
        require_admin_token(head, self.admin_token)
        if head.method == "PUT" and head.path.startswith(f"{FILES_PATH}/"):
            name = head.path.removeprefix(f"{FILES_PATH}/")
            await self._apply(name, await read_body(receive, MAX_FILE_BYTES), send)
        elif head.method == "GET" and head.path == FILES_PATH:
            await send_json(send, 200, self.files_in_force())
        elif head.method == "GET" and head.path in self.reports:
            await send_json(send, 200, await self.reports[head.path](head))
        else:
            raise ProblemError(
                Problem(404, ProblemCode.NOT_FOUND, f"no {head.method} {head.path} here")
            )

    def files_in_force(self) -> dict[str, Any]:
        """Return every file in force, as it was applied.

        :raises ProblemError: when this entry can't confirm its view.
        """
        if not self.view.is_confirmed(anyio.current_time()):
            raise ProblemError(
                Problem(
                    503,
                    ProblemCode.VIEW_EXPIRED,
                    "this entry can't confirm what is in force now; ask another",
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

    async def _apply(self, name: str, body: bytes, send: Send) -> None:
        """Have a file accepted as a whole, or say why not."""
        command = _read_file(name, body)
        try:
            result = await self.propose(command, APPLY_BOUND_S)
        except ControlUnavailable as error:
            raise ProblemError(_unanswered(name)) from error
        assert isinstance(result, FileApplied)
        accepted = STATUSES[result.outcome] == 200
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
        await send_json(send, STATUSES[result.outcome], document)


def _read_file(name: str, body: bytes) -> ApplyFile:
    """Read a file far enough to know its name and number; the voters check the rest.

    :raises ProblemError: when it is no operator file, or is of another name.
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
        detail = f"the file names itself {content.file!r}, the path names {name!r}"
        raise ProblemError(Problem(422, ProblemCode.INVALID_FILE, detail))
    digest = hashlib.sha256(body).hexdigest()
    return ApplyFile(name, content.number, text, digest)


def _unanswered(name: str) -> Problem:
    return Problem(
        503,
        ProblemCode.CONTROL_UNAVAILABLE,
        f"no answer from the control group: {name} may or may not be in force; apply it again",
        Verdict.MAY_HAVE_RUN,
        retry=True,
        retry_after_s=2.0,
    )

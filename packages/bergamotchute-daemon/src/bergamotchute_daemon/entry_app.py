"""The entry's HTTP application: gives each request to the part that answers it."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from bergamotchute_daemon._asgi import Receive, Scope, Send, parse_request_head, send_problem
from bergamotchute_daemon.admin_api import ADMIN_PREFIX, AdminApi
from bergamotchute_daemon.caller_api import (
    ADDRESSES_PATH,
    REQUESTS_PREFIX,
    AnswerCutOff,
    CallerApi,
)
from bergamotchute_daemon.caller_filters import MODEL_PATHS, SERVICE_PREFIX
from bergamotchute_daemon.process_app import PROCESS_PATHS, ProcessApp
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError
from bergamotchute_model.verdict import Verdict

_logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class EntryApp:
    """An ASGI application over the callers', the operators' and the process's own interface."""

    callers: CallerApi
    admin: AdminApi
    process: ProcessApp

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one connection scope."""
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._answer(scope, receive, send)

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; a fault of ours is told as such and disturbs no other."""
        try:
            await self._route(scope, receive, send)
        except ProblemError as error:
            await send_problem(send, error.problem)
        except AnswerCutOff:
            raise
        except Exception:
            _logger.exception("answering a request failed")
            detail = "the entry failed on this request"
            problem = Problem(500, ProblemCode.INTERNAL, detail, Verdict.MAY_HAVE_RUN)
            await send_problem(send, problem)

    async def _route(self, scope: Scope, receive: Receive, send: Send) -> None:
        head = parse_request_head(scope)
        path = head.path
        if path in PROCESS_PATHS:
            await self.process.answer(head, send)
        elif path == ADDRESSES_PATH:
            await self.callers.answer_addresses(head, send)
        elif path in MODEL_PATHS or path.startswith(SERVICE_PREFIX):
            await self.callers.answer_request(head, receive, send)
        elif path.startswith(REQUESTS_PREFIX):
            await self.callers.answer_resume(head, receive, send)
        elif path.startswith(ADMIN_PREFIX):
            await self.admin.answer(head, receive, send)
        else:
            raise ProblemError(Problem(404, ProblemCode.NOT_FOUND, f"no {path} here"))


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Agree to start and to stop; the composition root does both."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return

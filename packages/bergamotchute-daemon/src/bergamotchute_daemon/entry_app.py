"""The entry's ASGI application: routes requests to the caller, admin and process APIs."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from bergamotchute_daemon._asgi import Receive, Scope, Send, parse_request_head, send_problem
from bergamotchute_daemon.admin_api import ADMIN_PREFIX, AdminApi
from bergamotchute_daemon.caller_api import (
    ADDRESSES_PATH,
    REQUESTS_PREFIX,
    AnswerTruncated,
    CallerApi,
)
from bergamotchute_daemon.caller_filters import MODEL_PATHS, SERVICE_PREFIX
from bergamotchute_daemon.process_app import PROCESS_PATHS, ProcessApp
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError
from bergamotchute_model.verdict import Verdict

_logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class EntryApp:
    """Serves the callers' API, the operators' API and the process's own endpoints."""

    callers: CallerApi
    admin: AdminApi
    process: ProcessApp

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one connection scope."""
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_request(scope, receive, send)

    async def _serve_request(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request; an unexpected exception is logged and answered with status 500."""
        try:
            await self._route(scope, receive, send)
        except ProblemError as error:
            await send_problem(send, error.problem)
        except AnswerTruncated:
            raise
        except Exception:
            _logger.exception("unhandled exception while serving a request")
            detail = "internal error at the entry; see its log"
            problem = Problem(500, ProblemCode.INTERNAL, detail, Verdict.MAY_HAVE_RUN)
            await send_problem(send, problem)

    async def _route(self, scope: Scope, receive: Receive, send: Send) -> None:
        head = parse_request_head(scope)
        path = head.path
        if path in PROCESS_PATHS:
            await self.process.answer(head, send)
        elif path == ADDRESSES_PATH:
            await self.callers.serve_addresses(head, send)
        elif path in MODEL_PATHS or path.startswith(SERVICE_PREFIX):
            await self.callers.serve_request(head, receive, send)
        elif path.startswith(REQUESTS_PREFIX):
            await self.callers.serve_resume(head, receive, send)
        elif path.startswith(ADMIN_PREFIX):
            await self.admin.answer(head, receive, send)
        else:
            raise ProblemError(Problem(404, ProblemCode.NOT_FOUND, f"unknown path {path}"))


async def handle_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge startup and shutdown, which the composition root carries out."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return

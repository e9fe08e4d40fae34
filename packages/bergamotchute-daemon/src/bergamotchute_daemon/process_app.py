"""What every process serves over HTTP: health, readiness, metrics and recent events."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass

from bergamotchute_daemon._asgi import HttpRequestHead, Send, send_json, send_problem, send_response
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.metrics import Metrics
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError

EVENTS_PATH = "/v1/admin/events"
PROCESS_PATHS = frozenset({"/healthz", "/readyz", "/metrics", EVENTS_PATH})


@dataclass(frozen=True)
class ProcessApp:
    """Answers the paths that all processes have.

    :param refresh: sets the gauges before they are read.
    :param why_not_ready: says why the process can't serve now; empty when it can.
    :param admin_token: opens the recent events.
    """

    log: EventLog
    metrics: Metrics
    refresh: Callable[[Metrics], None]
    why_not_ready: Callable[[], str]
    admin_token: str

    async def answer(self, head: HttpRequestHead, send: Send) -> None:
        """Answer one request to one of :data:`PROCESS_PATHS`."""
        match head.path:
            case "/healthz":
                await send_json(send, 200, {"status": "alive"})
            case "/readyz":
                reason = self.why_not_ready()
                await send_json(send, 503 if reason else 200, {"ready": not reason, "why": reason})
            case "/metrics":
                self.refresh(self.metrics)
                body, headers = self.metrics.render(head.header("accept"))
                await send_response(send, 200, body, headers)
            case _:
                require_admin_token(head, self.admin_token)
                await self._send_events(head, send)

    async def _send_events(self, head: HttpRequestHead, send: Send) -> None:
        after = head.query.get("after", "0")
        if not after.isdecimal():
            detail = "after must be a sequence number"
            await send_problem(send, Problem(400, ProblemCode.BAD_REQUEST, detail))
            return
        records = self.log.records_since(head.query.get("incarnation", ""), int(after))
        body = "".join(record.to_json() + "\n" for record in records).encode()
        await send_response(send, 200, body, (("content-type", "application/jsonl"),))


def require_admin_token(head: HttpRequestHead, admin_token: str) -> None:
    """Check the operators' token in constant time.

    :raises ProblemError: when it is another.
    """
    if not hmac.compare_digest(head.bearer_token().encode(), admin_token.encode()):
        raise ProblemError(
            Problem(401, ProblemCode.UNAUTHENTICATED, "the operators' token is needed")
        )

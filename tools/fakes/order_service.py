"""A fake order service: ``python -m tools.fakes.order_service --bind 127.0.0.1:9100``.

``POST /orders`` executes each time it is called: it is not idempotent, and it keeps no keys. It
answers 201 with an order number. ``GET /orders/NUMBER`` gives the order's status. ``GET /load``
tells how busy it is.
"""

from __future__ import annotations

import argparse
from pathlib import Path

import anyio

from tools.fakes._http import (
    Message,
    Receive,
    Request,
    Send,
    read_request,
    send_json,
    serve_forever,
)
from tools.fakes.journal import ExecutionJournal


class FakeOrderService:
    """Takes orders and tells their status.

    :param name: part of each order number.
    :param work_s: how long an order takes.
    :param orders: bodies by order number.
    """

    def __init__(self, name: str, work_s: float, journal: ExecutionJournal) -> None:
        self.name = name
        self.work_s = work_s
        self.journal = journal
        self.orders: dict[str, object] = {}
        self.running = 0
        self.load_sequence = 0

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] != "http":
            return
        request = await read_request(scope, receive)
        if request.method == "POST" and request.path == "/orders":
            await self.take_order(request, send)
        elif request.method == "GET" and request.path.startswith("/orders/"):
            await self.tell_status(request.path.removeprefix("/orders/"), send)
        elif request.path == "/load":
            self.load_sequence += 1
            await send_json(send, 200, self.load())
        else:
            await send_json(send, 404, {"error": f"no {request.path} here"})

    def load(self) -> dict[str, int]:
        """Return the load report."""
        return {"sequence": self.load_sequence, "running": self.running, "waiting": 0, "slots": 16}

    async def take_order(self, request: Request, send: Send) -> None:
        """Execute one order; what has begun is finished even when the caller goes away."""
        identity = (request.headers.get("x-request-id", ""), request.headers.get("x-attempt", ""))
        execution = len(self.orders) + 1
        number = f"{self.name}-{execution:04d}"
        self.orders[number] = request.json()
        call = str(request.json().get("call", ""))
        self.journal.write("start", *identity, execution=execution, call=call, order=number)
        self.running += 1
        await anyio.sleep(self.work_s)
        self.running -= 1
        self.journal.write("end", *identity, execution=execution, outcome="completed")
        await send_json(send, 201, {"order": number, "status": "accepted"})

    async def tell_status(self, number: str, send: Send) -> None:
        """Answer a status check."""
        if number not in self.orders:
            await send_json(send, 404, {"error": f"no order {number}"})
            return
        await send_json(send, 200, {"order": number, "status": "accepted"})


def main() -> None:
    """Serve one fake order service until told to stop."""
    parser = argparse.ArgumentParser(description="A fake order service.")
    parser.add_argument("--bind", required=True, help="HOST:PORT to listen on")
    parser.add_argument("--name", default="order", help="its name in the journal and in numbers")
    parser.add_argument("--work-s", type=float, default=0.05, help="seconds an order takes")
    parser.add_argument("--journal", type=Path, help="file of executions")
    options = parser.parse_args()
    journal = ExecutionJournal(options.name, options.journal)
    serve_forever(FakeOrderService(options.name, options.work_s, journal), options.bind)


if __name__ == "__main__":
    main()

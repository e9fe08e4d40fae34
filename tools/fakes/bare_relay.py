"""The least that can carry a stream: ``python -m tools.fakes.bare_relay --bind A --to URL``.

One hypercorn application that streams an httpx answer through, without checks or accounts; the
baseline of ``tools.bench_relay``.
"""

from __future__ import annotations

import argparse
from functools import partial

import anyio
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config

from tools.fakes._http import Message, Receive, Send, read_request

POOL = httpx.Limits(max_connections=None, max_keepalive_connections=2_000)


async def relay(
    client: httpx.AsyncClient, to: str, scope: Message, receive: Receive, send: Send
) -> None:
    """Pass one request on and its answer back."""
    if scope["type"] != "http":
        return
    request = await read_request(scope, receive)
    headers = {"content-type": "application/json"}
    call = client.stream("POST", to + request.path, content=request.body, headers=headers)
    async with call as answer:
        kind = answer.headers.get("content-type", "").encode()
        head = {"type": "http.response.start", "status": answer.status_code}
        await send({**head, "headers": [(b"content-type", kind)]})
        async for data in answer.aiter_raw():
            await send({"type": "http.response.body", "body": data, "more_body": True})
    await send({"type": "http.response.body", "body": b""})


async def run(bind: str, to: str) -> None:
    """Serve until the process is told to stop."""
    config = Config()
    config.bind = [bind]
    config.errorlog = None
    async with httpx.AsyncClient(limits=POOL, timeout=60, trust_env=False) as client:
        await serve(partial(relay, client, to), config)  # type: ignore[arg-type]


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bind", required=True)
    parser.add_argument("--to", required=True)
    values = parser.parse_args()
    anyio.run(run, values.bind, values.to)

"""A stand-in for a plain runner: ``runner.py HOST PORT WORK_MS ARRIVALS_FILE``.

It runs each request for the given time and answers it with the platform's headers. Each arrival is
written to the file with the time of the machine's steady clock, and each delay of its own loop.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import TextIO

MAX_OWN_DELAY_S = 0.05


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, work_s: float, record: TextIO
) -> None:
    """Run one request."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        arrived_at = time.monotonic()
        headers = dict(
            line.lower().split(": ", 1) for line in head.decode("latin-1").split("\r\n")[1:] if line
        )
        await reader.readexactly(int(headers.get("content-length", 0)))
        request = headers.get("bergamotchute-request-id", "")
        print(json.dumps({"arrived_at": arrived_at, "request": request}), file=record)
        await asyncio.sleep(work_s)
        writer.write(
            f"HTTP/1.1 200 OK\r\nBergamotchute-Request-Id: {request}\r\n"
            "Bergamotchute-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok".encode()
        )
        await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Serve until the process is ended."""
    host, port, work_ms, path = sys.argv[1:5]
    with open(path, "w", buffering=1) as record:
        await asyncio.start_server(
            lambda reader, writer: serve(reader, writer, float(work_ms) / 1000, record),
            host,
            int(port),
            backlog=1024,
        )
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            delay_s = time.monotonic() - began - 0.01
            if delay_s > MAX_OWN_DELAY_S:
                print(json.dumps({"own_delay_s": delay_s, "at": began}), file=record)


asyncio.run(main())

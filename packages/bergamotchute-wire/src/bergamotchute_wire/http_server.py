"""Serves an ASGI application over HTTP until told to stop."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import sniffio
from hypercorn import Config

from bergamotchute_model.identifiers import Address

KEEP_ALIVE_S = 20.0
"""How long a connection may idle, or take to send a request's head."""

STOP_GRACE_S = 3.0
"""How long open connections get to finish once the server stops."""

MAX_HEAD_BYTES = 32_768


async def serve_http(app: Any, address: Address, stop: Callable[[], Awaitable[None]]) -> None:
    """Serve until ``stop`` returns; then finish open connections and return.

    :param app: the ASGI application.
    """
    config = Config()
    config.bind = [str(address)]
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = STOP_GRACE_S
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    config.include_server_header = False
    config.errorlog = logging.getLogger("bergamotchute.http")
    if sniffio.current_async_library() == "trio":
        from hypercorn.trio import serve as serve_trio  # noqa: PLC0415

        await serve_trio(app, config, shutdown_trigger=stop)
    else:
        from hypercorn.asyncio import serve as serve_asyncio  # noqa: PLC0415

        await serve_asyncio(app, config, shutdown_trigger=stop)

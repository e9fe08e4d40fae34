"""Serves an ASGI application over HTTP."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any

import sniffio
from hypercorn import Config

from bergamotchute_model.identifiers import Address

KEEP_ALIVE_TIMEOUT_S = 20.0
"""How long a connection may idle, and how long a request's head may take."""

SHUTDOWN_TIMEOUT_S = 3.0
"""How long open connections may take to finish once the server stops."""

MAX_HEAD_BYTES = 32_768


async def serve_asgi_app(
    app: Any, address: Address, wait_for_stop: Callable[[], Awaitable[None]]
) -> None:
    """Serve until ``wait_for_stop`` returns; then finish open connections and return.

    :param app: the ASGI application.
    :param address: where to listen.
    :param wait_for_stop: returns when the server is to stop.
    """
    config = Config()
    config.bind = [str(address)]
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = SHUTDOWN_TIMEOUT_S
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    config.include_server_header = False
    config.errorlog = logging.getLogger("bergamotchute.http")
    if sniffio.current_async_library() == "trio":
        from hypercorn.trio import serve as serve_trio  # noqa: PLC0415

        await serve_trio(app, config, shutdown_trigger=wait_for_stop)
    else:
        from hypercorn.asyncio import serve as serve_asyncio  # noqa: PLC0415

        await serve_asyncio(app, config, shutdown_trigger=wait_for_stop)

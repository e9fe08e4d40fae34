"""Read from an endpoint while a replacement for it is prepared."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

import anyio

from bergamotchute_wire.http1_messages import EndpointFailure

ReadResult = TypeVar("ReadResult")
Replacement = TypeVar("Replacement")


@dataclass(frozen=True)
class Received(Generic[ReadResult]):
    """What was read; there may still be more where it came from."""

    value: ReadResult


async def read_or_replace(
    read: Callable[[], Awaitable[ReadResult]],
    find_replacement: Callable[[], Awaitable[Replacement | None]],
    discard: Callable[[Replacement], Awaitable[None]],
    is_usable: Callable[[ReadResult], bool],
) -> Received[ReadResult] | Replacement | None:
    """Read, and return what comes first: usable data, or a replacement for the endpoint.

    The endpoint is not given up before its replacement is ready: the replacement may be refused.

    :param read: may be cancelled without a loss of data.
    :param find_replacement: returns ``None`` if there is none.
    :param discard: releases a replacement that is not needed.
    :param is_usable: whether data is worth more than a replacement; a refusal is not.
    :return: ``None`` if neither data nor a replacement was found.
    :raises EndpointFailure: if reading failed and no replacement was found.
    """
    received: Received[ReadResult] | None = None
    failure: EndpointFailure | None = None
    replacement: Replacement | None = None
    is_replaced = False

    async def read_data() -> None:
        nonlocal received, failure
        try:
            received = Received(await read())
        except EndpointFailure as error:
            failure = error
        else:
            if is_usable(received.value):
                tasks.cancel_scope.cancel()

    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_data)
            replacement = await find_replacement()
            tasks.cancel_scope.cancel()
        is_replaced = replacement is not None and not (
            received is not None and is_usable(received.value)
        )
    finally:
        if replacement is not None and not is_replaced:
            await discard(replacement)
    if is_replaced:
        return replacement
    if received is None and failure is not None:
        raise failure
    return received

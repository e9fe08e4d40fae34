"""A rank that refuses each connection."""

from __future__ import annotations

from bergamotchute_wire.http1_messages import EndpointFailure
from bergamotchute_wire.kept_connection import KeptConnection


class UnreachableRank(KeptConnection):
    """The connection to it."""

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        raise EndpointFailure("the connection was refused", False)

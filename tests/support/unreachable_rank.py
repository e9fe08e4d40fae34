"""A rank that refuses every connection."""

from __future__ import annotations

from bergamotchute_wire.http1_messages import EndpointFailure
from bergamotchute_wire.persistent_connection import PersistentConnection


class UnreachableRank(PersistentConnection):
    """A connection to a rank that refuses every call before it is sent."""

    async def call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        raise EndpointFailure("connection refused", False)

"""Loads weights from the store within a leased part of its rate."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import anyio

from bergamotchute_daemon.backoff import Backoff
from bergamotchute_policy.weight_budget import RATE_LEASE_S, LoadPacer, RateGrant, RateRequest

RENEW_S = RATE_LEASE_S / 3
GRANT_POLL_S = 0.2
RETRY_BASE_S = 0.5
RETRY_MAX_S = 10.0
LEAST_FETCH_S = 5.0
FETCH_SLACK = 20.0


class StoreUnavailable(Exception):
    """The store gave nothing in time, or refused for now; trying again may help."""


@dataclass
class WeightStoreClient:
    """Fetches weights for one holder, such as a rank group's part on one endpoint.

    A store that is slow or stalled only makes :meth:`load` slow, and in the end ``False``: steps
    never wait for it. What the store really gives shows in the rate to plan with.

    :param ask: asks the budget for a part of the rate; raises :exc:`StoreUnavailable` when the
        budget cannot be reached.
    :param fetch: fetches named weights into the engine; raises :exc:`StoreUnavailable`.
    :param wanted_bytes_s: the most this holder can use.
    """

    holder: str
    ask: Callable[[RateRequest], Awaitable[RateGrant]]
    fetch: Callable[[str], Awaitable[None]]
    random: Random
    wanted_bytes_s: float
    meter: LoadPacer = field(default_factory=LoadPacer)
    asked: int = 0

    async def run(self) -> None:
        """Renew the part of the rate until cancelled."""
        backoff = Backoff(self.random)
        while True:
            self.asked += 1
            sent_at = anyio.current_time()
            try:
                wanted = RateRequest(self.holder, self.asked, self.wanted_bytes_s)
                self.meter.on_rate_grant(await self.ask(wanted), sent_at)
            except StoreUnavailable:
                await anyio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            await anyio.sleep(RENEW_S)

    def rate(self) -> float:
        """Return the bytes a second to plan with."""
        return self.meter.planning_rate(anyio.current_time())

    async def load(self, name: str, size_bytes: int, bound_s: float) -> bool:
        """Load named weights; ``False`` when they did not come in time.

        :param bound_s: how long to try in all.
        """
        backoff = Backoff(self.random, RETRY_BASE_S, RETRY_MAX_S)
        with anyio.move_on_after(bound_s):
            while True:
                await self._take_turn(size_bytes)
                if await self._fetch_once(name, size_bytes):
                    return True
                await anyio.sleep(backoff.next_delay())
        return False

    async def _take_turn(self, size_bytes: int) -> None:
        """Wait until the granted rate lets a load of this size begin."""
        while True:
            wait_s = self.meter.reserve_load(size_bytes, anyio.current_time())
            if wait_s is not None:
                await anyio.sleep(wait_s)
                return
            await anyio.sleep(GRANT_POLL_S)

    async def _fetch_once(self, name: str, size_bytes: int) -> bool:
        """Fetch once, for as long as a store at a small part of its rate would need."""
        began = anyio.current_time()
        granted = max(self.meter.granted_bytes_s, 1.0)
        try:
            with anyio.fail_after(max(LEAST_FETCH_S, FETCH_SLACK * size_bytes / granted)):
                await self.fetch(name)
        except (StoreUnavailable, TimeoutError):
            self.meter.on_load_failed()
            return False
        self.meter.on_load_finished(size_bytes, anyio.current_time() - began)
        return True

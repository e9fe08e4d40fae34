"""Loads weights from the store within a leased share of its rate."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import anyio

from bergamotchute_daemon.backoff import Backoff
from bergamotchute_policy.weight_budget import RATE_LEASE_S, LoadPacer, RateGrant, RateRequest

RENEWAL_INTERVAL_S = RATE_LEASE_S / 3
GRANT_POLL_INTERVAL_S = 0.2
RETRY_BASE_DELAY_S = 0.5
RETRY_MAX_DELAY_S = 10.0
MIN_FETCH_TIMEOUT_S = 5.0
FETCH_TIMEOUT_FACTOR = 20.0


class StoreUnavailable(Exception):
    """The store did not respond in time or temporarily refused; a retry may succeed."""


@dataclass
class WeightStoreClient:
    """Fetches weights for one holder, such as a rank group's part on one endpoint.

    A slow or stalled store only delays :meth:`load`, which returns ``False`` after its timeout:
    steps never wait for the store. The planning rate follows the rate that the store achieves.

    :param holder: name of the holder in the rate budget.
    :param request_rate: requests a share of the rate from the budget; raises
        :exc:`StoreUnavailable` when the budget cannot be reached.
    :param fetch_weights: fetches named weights into the engine; raises :exc:`StoreUnavailable`.
    :param wanted_bytes_s: maximum rate that this holder can use, in bytes/s.
    :param pacer: schedules loads within the granted rate and measures the achieved rate.
    :param request_count: number of rate requests sent so far.
    """

    holder: str
    request_rate: Callable[[RateRequest], Awaitable[RateGrant]]
    fetch_weights: Callable[[str], Awaitable[None]]
    random: Random
    wanted_bytes_s: float
    pacer: LoadPacer = field(default_factory=LoadPacer)
    request_count: int = 0

    async def run(self) -> None:
        """Renew the leased rate until cancelled."""
        backoff = Backoff(self.random)
        while True:
            self.request_count += 1
            sent_at = anyio.current_time()
            try:
                rate_request = RateRequest(self.holder, self.request_count, self.wanted_bytes_s)
                self.pacer.on_rate_grant(await self.request_rate(rate_request), sent_at)
            except StoreUnavailable:
                await anyio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            await anyio.sleep(RENEWAL_INTERVAL_S)

    def planning_rate_bytes_s(self) -> float:
        """Return the rate to plan with, in bytes/s."""
        return self.pacer.planning_rate(anyio.current_time())

    async def load(self, name: str, size_bytes: int, load_timeout_s: float) -> bool:
        """Load named weights, with retries.

        :param load_timeout_s: timeout over all attempts, in seconds.
        :returns: whether the weights were loaded in time.
        """
        backoff = Backoff(self.random, RETRY_BASE_DELAY_S, RETRY_MAX_DELAY_S)
        with anyio.move_on_after(load_timeout_s):
            while True:
                await self._wait_for_rate(size_bytes)
                if await self._fetch_once(name, size_bytes):
                    return True
                await anyio.sleep(backoff.next_delay())
        return False

    async def _wait_for_rate(self, size_bytes: int) -> None:
        """Wait until the granted rate permits a load of this size."""
        while True:
            wait_s = self.pacer.reserve_load(size_bytes, anyio.current_time())
            if wait_s is not None:
                await anyio.sleep(wait_s)
                return
            await anyio.sleep(GRANT_POLL_INTERVAL_S)

    async def _fetch_once(self, name: str, size_bytes: int) -> bool:
        """Fetch once, with a timeout that a store at 1/20 of the granted rate still meets."""
        started_at = anyio.current_time()
        granted = max(self.pacer.granted_bytes_s, 1.0)
        try:
            with anyio.fail_after(
                max(MIN_FETCH_TIMEOUT_S, FETCH_TIMEOUT_FACTOR * size_bytes / granted)
            ):
                await self.fetch_weights(name)
        except (StoreUnavailable, TimeoutError):
            self.pacer.on_load_failed()
            return False
        self.pacer.on_load_finished(size_bytes, anyio.current_time() - started_at)
        return True

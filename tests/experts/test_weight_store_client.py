"""Loads keep to the granted rate, are retried with jitter, and time out if the store stalls."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import anyio
import trio
from trio.testing import MockClock

from bergamotchute_daemon.weight_store_client import StoreUnavailable, WeightStoreClient
from bergamotchute_policy.weight_budget import RateGrant, RateRequest, WeightBudget

RATE_BYTES_S = 1000.0


class Store:
    """A fake store that serves a ratio of its rate, or stalls."""

    def __init__(self) -> None:
        self.rate_ratio = 1.0
        self.remaining_failures = 0
        self.fetch_count = 0
        self.budget = WeightBudget(RATE_BYTES_S, started_at_s=-60.0)

    async def request_rate(self, request: RateRequest) -> RateGrant:
        return self.budget.on_rate_request(request, anyio.current_time())

    async def fetch(self, name: str) -> None:
        if self.remaining_failures:
            self.remaining_failures -= 1
            raise StoreUnavailable
        await anyio.sleep(100 / (RATE_BYTES_S * self.rate_ratio) if self.rate_ratio else 1e6)
        self.fetch_count += 1

    def client(self, holder: str) -> WeightStoreClient:
        return WeightStoreClient(holder, self.request_rate, self.fetch, Random(1), RATE_BYTES_S)


def run_scenario(scenario: Callable[[Store, WeightStoreClient], Awaitable[None]]) -> None:
    async def main() -> None:
        store = Store()
        client = store.client("g")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.run)
            await anyio.sleep(0.1)
            await scenario(store, client)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_concurrent_loads_keep_to_the_granted_rate() -> None:
    async def scenario(store: Store, client: WeightStoreClient) -> None:
        started_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for number in range(50):
                tasks.start_soon(client.load, f"w{number}", 100, 60.0)
        duration_s = anyio.current_time() - started_at
        assert store.fetch_count == 50
        assert 4.8 <= duration_s <= 6.0

    run_scenario(scenario)


def test_failed_loads_are_retried() -> None:
    async def scenario(store: Store, client: WeightStoreClient) -> None:
        store.remaining_failures = 3
        assert await client.load("w", 100, 60.0)

    run_scenario(scenario)


def test_a_slow_store_lowers_the_planning_rate() -> None:
    async def scenario(store: Store, client: WeightStoreClient) -> None:
        store.rate_ratio = 0.1
        for number in range(10):
            assert await client.load(f"w{number}", 100, 60.0)
        assert client.planning_rate_bytes_s() < 0.2 * RATE_BYTES_S

    run_scenario(scenario)


def test_a_load_from_a_stalled_store_times_out() -> None:
    async def scenario(store: Store, client: WeightStoreClient) -> None:
        store.rate_ratio = 0.0
        started_at = anyio.current_time()
        assert not await client.load("w", 100, 30.0)
        assert anyio.current_time() - started_at <= 30.0
        assert client.planning_rate_bytes_s() < 0.2 * RATE_BYTES_S

    run_scenario(scenario)

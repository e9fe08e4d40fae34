"""Loads keep to the granted rate, try again with jitter, and end when the store is stalled."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import anyio
import trio
from trio.testing import MockClock

from bergamotchute_daemon.weight_store_client import StoreUnavailable, WeightStoreClient
from bergamotchute_policy.weight_budget import RateGrant, RateRequest, WeightBudget

RATE = 1000.0


class Store:
    """A store that gives a part of its rate, or nothing."""

    def __init__(self) -> None:
        self.part = 1.0
        self.failures = 0
        self.fetched = 0
        self.budget = WeightBudget(RATE, started_at_s=-60.0)

    async def ask(self, wanted: RateRequest) -> RateGrant:
        return self.budget.on_rate_request(wanted, anyio.current_time())

    async def fetch(self, name: str) -> None:
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable
        await anyio.sleep(100 / (RATE * self.part) if self.part else 1e6)
        self.fetched += 1

    def client(self, holder: str) -> WeightStoreClient:
        return WeightStoreClient(holder, self.ask, self.fetch, Random(1), RATE)


def play(scenario: Callable[[Store, WeightStoreClient], Awaitable[None]]) -> None:
    async def main() -> None:
        store = Store()
        client = store.client("g")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.run)
            await anyio.sleep(0.1)
            await scenario(store, client)
            tasks.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_many_loads_take_as_long_as_the_rate_says() -> None:
    async def scenario(store: Store, client: WeightStoreClient) -> None:
        began = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for number in range(50):
                tasks.start_soon(client.load, f"w{number}", 100, 60.0)
        took = anyio.current_time() - began
        assert store.fetched == 50
        assert 4.8 <= took <= 6.0

    play(scenario)


def test_failures_are_tried_again() -> None:
    async def scenario(store: Store, client: WeightStoreClient) -> None:
        store.failures = 3
        assert await client.load("w", 100, 60.0)

    play(scenario)


def test_a_store_at_a_tenth_of_its_rate_lowers_the_rate_to_plan_with() -> None:
    async def scenario(store: Store, client: WeightStoreClient) -> None:
        store.part = 0.1
        for number in range(10):
            assert await client.load(f"w{number}", 100, 60.0)
        assert client.rate() < 0.2 * RATE

    play(scenario)


def test_a_stalled_store_ends_the_load_and_nothing_else() -> None:
    async def scenario(store: Store, client: WeightStoreClient) -> None:
        store.part = 0.0
        began = anyio.current_time()
        assert not await client.load("w", 100, 30.0)
        assert anyio.current_time() - began <= 30.0
        assert client.rate() < 0.2 * RATE

    play(scenario)

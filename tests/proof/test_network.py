"""The in-memory network fails as a real one does."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import anyio
import anyio.lowlevel
import pytest
import trio
from tools.proof.network import MUTE_S, Disturbance, Network
from trio.testing import MockClock

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.link import DialFailed, LinkClosed

SERVER = Address("10.0.0.1", 7000)


def run(client: Callable[[Network], Awaitable[None]]) -> None:
    """Run ``client`` beside a server that sends back what it gets, under the paused clock."""

    async def echo(link: Any) -> None:
        try:
            while True:
                await link.send(await link.receive())
        except LinkClosed:
            return

    async def body() -> None:
        async with anyio.create_task_group() as tasks:
            network = Network(0.0005, Random(1), tasks)
            tasks.start_soon(network.listen, "server", SERVER, {"/echo": echo})
            await anyio.lowlevel.checkpoint()
            await client(network)
            tasks.cancel_scope.cancel()

    trio.run(body, clock=MockClock(autojump_threshold=0))


def disturbance(kind: str, for_s: float, direction: str = "") -> Disturbance:
    return Disturbance(kind, "server", anyio.current_time() + for_s, direction, by_s=0.5)


def test_messages_come_in_order_and_late() -> None:
    async def client(network: Network) -> None:
        async with network.dial("client", "/echo")(SERVER) as link:
            network.disturb(disturbance("delay", 0.1))
            began_s = anyio.current_time()
            for number in range(3):
                await link.send(number)
            assert [await link.receive() for _ in range(3)] == [0, 1, 2]
            assert anyio.current_time() - began_s > 0.5

    run(client)


@pytest.mark.parametrize("direction", ["", "inward", "outward"])
def test_a_short_partition_only_holds_back(direction: str) -> None:
    async def client(network: Network) -> None:
        async with network.dial("client", "/echo")(SERVER) as link:
            network.disturb(disturbance("partition", 2.0, direction))
            await link.send("a")
            assert await link.receive() == "a"
            assert anyio.current_time() >= 2.0

    run(client)


def test_a_long_partition_closes_links_and_refuses_new_ones() -> None:
    async def client(network: Network) -> None:
        async with network.dial("client", "/echo")(SERVER) as link:
            network.disturb(disturbance("partition", 60.0))
            with pytest.raises(LinkClosed, match="mute"):
                await link.receive()
            assert MUTE_S < anyio.current_time() < 2 * MUTE_S
        with pytest.raises(DialFailed):
            async with network.dial("client", "/echo")(SERVER):
                pass

    run(client)


def test_mute_links_stay_mute_and_new_ones_work() -> None:
    async def client(network: Network) -> None:
        dial = network.dial("client", "/echo")
        async with dial(SERVER) as old:
            network.mute("server")
            await old.send("a")
            async with dial(SERVER) as new:
                await new.send("b")
                assert await new.receive() == "b"
            with pytest.raises(LinkClosed, match="mute"):
                await old.receive()

    run(client)


def test_a_dropped_message_takes_its_link_along() -> None:
    async def client(network: Network) -> None:
        async with network.dial("client", "/echo")(SERVER) as link:
            network.disturb(disturbance("drop", 1.0))
            await link.send("a")
            with pytest.raises(LinkClosed, match="reset"):
                await link.receive()

    run(client)


def test_duplicates_and_swaps() -> None:
    async def client(network: Network) -> None:
        async with network.dial("client", "/echo")(SERVER) as link:
            network.disturb(disturbance("duplicate", 1.0, "inward"))
            await link.send("a")
            assert [await link.receive() for _ in range(2)] == ["a", "a"]
            await anyio.sleep(2)
            network.disturb(disturbance("reorder", 1.0, "inward"))
            await link.send("b")
            await link.send("c")
            assert [await link.receive() for _ in range(2)] == ["c", "b"]

    run(client)

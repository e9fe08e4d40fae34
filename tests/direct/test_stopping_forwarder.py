"""A stopping entry refuses at once what it can't answer before it ends."""

from __future__ import annotations

import anyio
import pytest

from bergamotchute_daemon.direct.endpoint_chooser import ChosenEndpoint
from support.entry_fixture import (
    CallerResponse,
    EntryFixture,
    answer,
    respond_with,
    run_with_entry,
    wait_until,
)


async def wait_forever(*_: object) -> ChosenEndpoint | None:
    await anyio.sleep_forever()
    return None


def test_request_that_waits_for_a_slot_is_sent_after_the_last_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body(entry: EntryFixture) -> None:
        monkeypatch.setattr(entry.forwarder.chooser, "choose", wait_forever)
        responses: list[CallerResponse] = []

        async def send() -> None:
            responses.append(await entry.send_request("order"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await wait_until(lambda: bool(entry.forwarder.unsent))
            # The order may take 2 s, the timeout of its route.
            entry.forwarder.stop_at(anyio.current_time() + 1.0)
        assert responses[0].status == 503
        assert float(responses[0].headers["retry-after"]) > 0
        assert not entry.forwarder.unsent

    run_with_entry(body)


def test_request_that_can_be_answered_in_time_is_refused() -> None:
    async def body(entry: EntryFixture) -> None:
        await entry.add_endpoint("runner-1", respond_with(answer))
        assert (await entry.send_request("order")).status == 200
        entry.forwarder.stop_at(anyio.current_time() + 1.0)
        assert (await entry.send_request("order")).status == 200

    run_with_entry(body)


def test_request_with_an_earlier_deadline_is_refused() -> None:
    async def body(entry: EntryFixture) -> None:
        await entry.add_endpoint("runner-1", respond_with(answer))
        entry.forwarder.stop_at(anyio.current_time() + 1.0)
        late = await entry.send_request("order", bergamotchute_deadline_remaining="1400")
        assert late.status == 503
        assert not entry.received_requests
        soon = await entry.send_request("order", bergamotchute_deadline_remaining="700")
        assert soon.status == 200

    run_with_entry(body)

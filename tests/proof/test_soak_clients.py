"""The soak's clients and stand-in endpoints share one process: none may stall the others."""

from __future__ import annotations

from random import Random
from typing import Any

import anyio
import httpx
import pytest
from tools.soak.clients import Operator, open_client
from tools.soak.endpoints import StandInEndpoint
from tools.soak.history import History

NOBODY = "127.0.253.253"


async def test_clients_load_certificates_while_the_soak_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    opened = 0
    true_init = httpx.AsyncClient.__init__

    def init(client: httpx.AsyncClient, **options: Any) -> None:
        nonlocal opened
        opened += 1
        assert options.get("verify") is False
        true_init(client, **options)

    monkeypatch.setattr(httpx.AsyncClient, "__init__", init)
    async with open_client(1.0) as client, anyio.create_task_group() as tasks:
        history = History()
        operator = Operator(client, [NOBODY], [NOBODY], history, Random(1), {NOBODY: 1}, version=9)
        endpoint = StandInEndpoint(
            "runner-0", NOBODY, "work", client, [NOBODY], history, Random(1), tasks
        )
        await operator.probe_entries()
        await operator.read(NOBODY)
        with anyio.move_on_after(0.3):
            await endpoint.leave()
    assert opened == 1

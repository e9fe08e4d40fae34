"""Asks entries, one after another, until one gives an answer that counts."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx

from bergamotchute_cli.command_error import unreachable
from bergamotchute_model.identifiers import Address

REQUEST_TIMEOUT_S = 12.0
CONNECT_TIMEOUT_S = 2.0
PAUSE_FIRST_S = 0.2
PAUSE_MAX_S = 3.0
RETRY_STATUSES = frozenset({500, 502, 503, 504})


@dataclass(frozen=True)
class Entries:
    """The entries of a deployment, for requests that may safely be sent more than once.

    :param addresses: asked in this order, again and again.
    :param token: the bearer token; empty for none.
    :param patience_s: how long to go on, in seconds.
    :param transport: stands in for the network in tests.
    """

    addresses: Sequence[Address]
    token: str = ""
    patience_s: float = 30.0
    transport: httpx.AsyncBaseTransport | None = None
    failures: dict[str, str] = field(default_factory=dict)

    async def ask(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        content: bytes | None = None,
    ) -> httpx.Response:
        """Return the first answer that is not a passing failure.

        Without an answer nobody knows what became of a request, so it is sent again, to the next
        entry.

        :raises CommandError: when no entry gave one in time.
        """
        pause = PAUSE_FIRST_S
        async with self._client() as client:
            with anyio.move_on_after(self.patience_s):
                while True:
                    for address in self.addresses:
                        url = f"http://{address}{path}"
                        request = client.build_request(method, url, params=params, content=content)
                        response = await self._try(client, address, request)
                        if response is not None:
                            return response
                    await anyio.sleep(pause)
                    pause = min(pause * 2, PAUSE_MAX_S)
        reasons = "; ".join(f"{where}: {why}" for where, why in self.failures.items())
        raise unreachable(f"no entry answered within {self.patience_s:g} s: {reasons}")

    def _client(self) -> httpx.AsyncClient:
        """Return an HTTP client that presents the token."""
        return httpx.AsyncClient(
            transport=self.transport,
            headers={"authorization": f"Bearer {self.token}"} if self.token else None,
            timeout=httpx.Timeout(REQUEST_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            trust_env=False,
        )

    async def _try(
        self, client: httpx.AsyncClient, address: Address, request: httpx.Request
    ) -> httpx.Response | None:
        """Return one entry's answer; ``None`` for a failure that another try may mend."""
        try:
            response = await client.send(request)
        except httpx.HTTPError as error:
            self.failures[str(address)] = str(error) or type(error).__name__
            return None
        if response.status_code not in RETRY_STATUSES:
            return response
        self.failures[str(address)] = problem_text(response)
        return None


def read_json(response: httpx.Response) -> dict[str, Any]:
    """Return the JSON object of an answer; empty when it is something else."""
    try:
        document = response.json()
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def problem_text(response: httpx.Response) -> str:
    """Return what a problem says, on one line."""
    document = read_json(response)
    detail = document.get("detail") or response.reason_phrase
    code = document.get("code", "")
    return f"{response.status_code} {code}: {detail}".replace(" :", ":")

"""Callers and the operator of a soak."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

import anyio
import httpx

from tools.node_processes import CALLER_PORT, CONTROL_PORT, DIRECTORY_PORT
from tools.soak.endpoints import DEADLY_PART, PROMPT_HEADER
from tools.soak.history import (
    CallerAnswer,
    ConfigurationPut,
    ConfigurationRead,
    History,
    VersionInForce,
    configuration_digest,
)

HOST = "soak.example"
REQUEST_TIMEOUT_S = 2.0
DIRECTORY_LIFETIME_S = 2.0
CONTROL_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 2.0
"""An entry that has just started lets a request wait 1.3 s for a first endpoint of its service."""

OPERATOR_TIMEOUT_S = 3.0
PROBED_VERSIONS = 8
ROUTES = ("status", "order", "stream", "stream")
KIND_BY_ROUTE = {"status": "safe", "order": "unsafe", "stream": "stream"}


def configuration(version: int, extra_routes: int) -> dict[str, Any]:
    """Return a configuration whose route ``/versionN/`` tells that it is in force."""
    paths = [*KIND_BY_ROUTE, f"version{version}", *(f"extra{n}" for n in range(extra_routes))]
    routes = [
        {
            "name": path,
            "host": HOST,
            "pathPrefix": f"/{path}/",
            "kind": KIND_BY_ROUTE.get(path, "safe"),
            "timeoutMs": int(1000 * REQUEST_TIMEOUT_S),
            "sloMs": 400,
            "priority": 1,
            "service": "nowhere" if path.startswith("version") else "work",
            "maxAttempts": 2,
            "noAuth": False,
            "resumable": path == "stream",
            "gapTargetMs": 120,
        }
        for path in paths
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "work", "maxConns": 100}, {"name": "nowhere", "maxConns": 1}],
    }


def open_client(timeout_s: float) -> httpx.AsyncClient:
    """Return a client whose connections stay open while their processes run."""
    # Loading certificates would stall the endpoints in this process for 50 ms.
    return httpx.AsyncClient(
        timeout=timeout_s, verify=False, limits=httpx.Limits(keepalive_expiry=None)
    )


@dataclass
class Caller:
    """Sends one request after the other over open connections to entries from the directory.

    :param deadly_share: share of streams whose prompt crashes endpoints.
    """

    name: str
    control_hosts: list[str]
    history: History
    random: Random
    deadly_share: float = 0.0
    entries: list[str] = field(default_factory=list)
    looked_up_at: float = float("-inf")
    count: int = 0

    async def run(self) -> None:
        """Send requests until cancelled; a connection stays in use until it ends."""
        async with open_client(REQUEST_TIMEOUT_S) as client:
            while True:
                await self._look_up_entries(client)
                if self.entries:
                    await self._send_request(client)
                await anyio.sleep(0.02 * self.random.random())

    async def _look_up_entries(self, client: httpx.AsyncClient) -> None:
        if time.monotonic() - self.looked_up_at < DIRECTORY_LIFETIME_S:
            return
        host = self.random.choice(self.control_hosts)
        url = f"http://{host}:{DIRECTORY_PORT}/bergamotchute/resolve?name={HOST}&zone=north"
        try:
            response = await client.get(url, timeout=CONTROL_TIMEOUT_S)
        except httpx.HTTPError:
            return
        if response.status_code == httpx.codes.OK:
            self.entries = response.json()["addresses"]
            self.looked_up_at = time.monotonic()

    async def _send_request(self, client: httpx.AsyncClient) -> None:
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        route = self.random.choice(ROUTES)
        entry = self.random.choice(self.entries)
        is_deadly = route == "stream" and self.random.random() < self.deadly_share
        middle = f"{DEADLY_PART}:95," if is_deadly else ""
        headers = {
            "host": HOST,
            "bergamotchute-request-id": request_id,
            "bergamotchute-deadline-remaining": str(int(1000 * REQUEST_TIMEOUT_S)),
            PROMPT_HEADER: f"aa01:40,{middle}{self.count:x}:231",
        }
        sent_at = time.monotonic()
        status, seal, body, is_whole = 0, "", b"", False
        try:
            url = f"http://{entry}/{route}/one"
            async with client.stream("POST", url, headers=headers, content=b"{}") as response:
                status = response.status_code
                seal = response.headers.get("bergamotchute-server-seal", "")
                async for chunk in response.aiter_raw():
                    body += chunk
                is_whole = True
        except httpx.HTTPError:
            if entry in self.entries and not status:
                self.entries = [each for each in self.entries if each != entry]
        if not is_deadly:
            answer = CallerAnswer(request_id, route, sent_at, status, is_whole, seal, body)
            self.history.answers.append(answer)


@dataclass
class Operator:
    """Puts configurations, reads them back, and asks entries which version is in force.

    :param incarnations: the count of starts of each entry's process, by address.
    """

    client: httpx.AsyncClient
    control_hosts: list[str]
    entry_hosts: list[str]
    history: History
    random: Random
    incarnations: dict[str, int]
    version: int = 0
    extra_routes: int = 0

    async def put_next(self, patience_s: float = 6.0) -> bool:
        """Put a newer version, at one control VM after the other until one acknowledges it."""
        self.version += self.random.randint(1, 3)
        version = self.version
        text = json.dumps(configuration(version, self.extra_routes))
        self.history.puts[version] = ConfigurationPut(time.monotonic(), configuration_digest(text))
        with anyio.move_on_after(patience_s):
            while True:
                if await self._put(text) == httpx.codes.OK:
                    self.history.acknowledged[version] = time.monotonic()
                    return True
                await anyio.sleep(0.1)
        return False

    async def put_other_content(self) -> None:
        """Put other content under the newest acknowledged version; it must not be read back."""
        version = max(self.history.acknowledged)
        await self._put(json.dumps(configuration(version, 1)))

    async def put_invalid(self) -> None:
        """Put a version that must be refused."""
        self.version += 1
        broken = configuration(self.version, 0)
        broken["routes"][0]["service"] = "unknown"
        self.history.refused_versions.add(self.version)
        if await self._put(json.dumps(broken)) == httpx.codes.OK:
            self.history.acknowledged[self.version] = time.monotonic()

    async def _put(self, text: str) -> int:
        return (await self._call(self.random.choice(self.control_hosts), "POST", "put", text))[0]

    async def read(self, host: str) -> int | None:
        """Read the configuration at a control VM and record what it returns."""
        asked_at = time.monotonic()
        status, body = await self._call(host, "GET", "get", "")
        if status != httpx.codes.OK:
            return None
        answered_at, version = time.monotonic(), int(json.loads(body)["version"])
        digest = configuration_digest(body)
        read = ConfigurationRead(host, asked_at, answered_at, version, digest)
        self.history.reads.append(read)
        return version

    async def read_until_answered(self, host: str, patience_s: float) -> None:
        """Record what a control VM returns at the end of the run."""
        self.history.final_versions[host] = None
        with anyio.move_on_after(patience_s):
            while self.history.final_versions[host] is None:
                self.history.final_versions[host] = await self.read(host)

    async def _call(self, host: str, method: str, verb: str, text: str) -> tuple[int, bytes]:
        url = f"http://{host}:{CONTROL_PORT}/bergamotchute/config/{verb}"
        try:
            response = await self.client.request(method, url, content=text)
        except httpx.HTTPError:
            return 0, b""
        return response.status_code, response.content

    async def probe_entries(self) -> None:
        """Ask each entry by which of the last versions it routes."""
        for host in self.entry_hosts:
            incarnation = self.incarnations[host]
            for version in range(self.version, max(0, self.version - PROBED_VERSIONS), -1):
                asked_at = time.monotonic()
                if await self._is_routed(host, version):
                    if incarnation == self.incarnations[host]:
                        seen = VersionInForce(host, incarnation, version, asked_at)
                        self.history.in_force.append(seen)
                    break

    async def _is_routed(self, host: str, version: int) -> bool:
        headers = {
            "host": HOST,
            "bergamotchute-request-id": f"probe-{host}-{version}-{time.monotonic_ns()}",
            "bergamotchute-deadline-remaining": str(int(1000 * PROBE_TIMEOUT_S)),
        }
        url = f"http://{host}:{CALLER_PORT}/version{version}/one"
        try:
            response = await self.client.get(url, headers=headers, timeout=PROBE_TIMEOUT_S)
        except httpx.HTTPError:
            return False
        return response.status_code != httpx.codes.NOT_FOUND and b"no endpoint" in response.content

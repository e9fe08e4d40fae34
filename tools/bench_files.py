"""Files and tokens that tools put in force to have something to call."""

from __future__ import annotations

import hashlib

import httpx

TEAM_TOKEN = "bench-team-token-0123456789abcdef"


async def put_files(address: str, admin_token: str, model_service: str) -> None:
    """Put one model service and one team without tight limits in force."""
    digest = hashlib.sha256(TEAM_TOKEN.encode()).hexdigest()
    text = f"""\
file: bench
number: 1
services:
  - {{name: {model_service}, kind: model, model: {model_service}, queue_count: 10000}}
teams:
  - name: bench
    token_sha256: {digest}
    services: [{model_service}]
    requests_per_second: 100000
    burst: 100000
    max_concurrent: 100000
"""
    headers = {"authorization": f"Bearer {admin_token}"}
    async with httpx.AsyncClient(timeout=20, trust_env=False) as client:
        url = f"http://{address}/v1/admin/files/bench"
        answer = await client.put(url, content=text.encode(), headers=headers)
        answer.raise_for_status()

"""Lets operators list and clear the prompt parts that endpoints are kept from.

It is served beside the metrics of entries and control VMs.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import anyio

from bergamotchute_daemon.prompt_evidence_table import PromptEvidenceTable
from bergamotchute_model.prompt_parts import Suspect
from bergamotchute_wire.http1_server import CallerRequest, RequestHandler, ResponseWriter

PROMPT_PARTS_PATH = "/prompt-parts"

_JSON_HEADERS = (("content-type", "application/json"),)


def prompt_part_handler(
    table: PromptEvidenceTable, clear: Callable[[Suspect], bool], others: RequestHandler
) -> RequestHandler:
    """Return a handler for the prompt parts, and for other paths by ``others``.

    :param clear: clears a part here and at all other processes; returns whether it was held.
    """

    async def handle(request: CallerRequest, writer: ResponseWriter) -> None:
        target = urlsplit(request.head.target)
        if target.path != PROMPT_PARTS_PATH:
            await others(request, writer)
        elif request.head.method == "GET":
            body = json.dumps(_describe(table)).encode()
            await writer.respond(200, _JSON_HEADERS, body)
        elif request.head.method == "DELETE":
            query = parse_qs(target.query)
            service, part = query.get("service", [""])[0], query.get("part", [""])[0]
            if not service or not part:
                await writer.respond(400, (), b"service and part are required")
                return
            await writer.respond(200 if clear(Suspect(service, part)) else 404)
        else:
            await writer.respond(405)

    return handle


def _describe(table: PromptEvidenceTable) -> dict[str, list[dict[str, object]]]:
    """Return the quarantined parts and the suspects, with times in seconds from now."""
    now, suspects = anyio.current_time(), table.suspects
    return {
        "quarantined": [
            {
                "service": part.service,
                "part": part.part,
                "left_s": round(quarantine.until - now, 1),
                "quarantine_count": quarantine.quarantine_count,
                "crashes": [endpoint for endpoint, _ in quarantine.crashes],
            }
            for part, quarantine in suspects.quarantines.items()
        ],
        "suspects": [
            {
                "service": part.service,
                "part": part.part,
                "crashes": sorted(endpoint for endpoint, _ in keys),
                "crash_age_s": round(now - max(suspects.crashes[key].at for key in keys), 1),
            }
            for part, keys in suspects.crashes_by_part.items()
            if part not in suspects.quarantines
        ],
    }

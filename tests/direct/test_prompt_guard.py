"""An entry whose endpoints crash when they begin to answer certain prompts."""

from __future__ import annotations

from functools import partial

import anyio
import anyio.to_thread
import httpx
import pytest
from anyio.abc import SocketStream

from bergamotchute_cli.__main__ import main
from bergamotchute_cli.exit_code import ExitCode
from bergamotchute_daemon.prompt_part_api import prompt_part_handler
from bergamotchute_model.prompt_parts import Crash, PromptEvidence, QuarantinedPart, Suspect
from bergamotchute_model.request_digest import digest_request
from bergamotchute_platform.request_format import REQUEST_FORMAT
from bergamotchute_wire.http1_messages import RequestHead
from bergamotchute_wire.http1_server import Http1Server
from support.entry_fixture import (
    CallerResponse,
    EndpointScript,
    EntryFixture,
    ReceivedRequest,
    answer,
    chunked,
    event,
    run_with_entry,
    stream_head,
)

PROMPT = "aa01:40,dead:95,0f0f:231"
SOUND_PROMPT = "aa01:40,0e0e:77"
DEADLY = Suspect("model", "dead")


def crash_on_deadly(entry: EntryFixture) -> EndpointScript:
    """Return a script that crashes the endpoint on the deadly part and streams otherwise."""

    async def run(request: ReceivedRequest, stream: SocketStream) -> None:
        if "dead:" in request.headers["bergamotchute-prompt-prefix"]:
            await stream.send(stream_head(request))
            await entry.crash(request.endpoint)
            return
        await stream.send(stream_head(request) + chunked(event(1)) + chunked(b""))

    return run


def run_stream(prompt: str) -> dict[str, str]:
    return {"route": "stream", "bergamotchute_prompt_prefix": prompt}


def test_request_that_crashed_an_endpoint_is_sent_to_the_next() -> None:
    async def body(entry: EntryFixture) -> None:
        for name in ("runner-1", "runner-2", "runner-3"):
            await entry.add_endpoint(name, crash_on_deadly(entry))
        assert (await entry.send_request(**run_stream(SOUND_PROMPT))).whole
        response = await entry.send_request(**run_stream(PROMPT))
        assert response.status == 502, "it began to run, so that no other answer is true"
        assert len(entry.received_requests) == 2
        crash, _ = entry.posted_evidence[0].crashes[0]
        assert crash.parts == ("dead",), "the shared part got an answer and is no suspect"
        held = await entry.send_request(**run_stream(PROMPT))
        assert held.status == 503
        assert float(held.headers["retry-after"]) > 2.0
        assert len(entry.received_requests) == 2
        assert (await entry.send_request(**run_stream(SOUND_PROMPT))).whole

    run_with_entry(body)


def test_quarantined_prompt_is_answered_so_that_callers_retry() -> None:
    async def body(entry: EntryFixture) -> None:
        await entry.add_endpoint("runner-1", crash_on_deadly(entry))
        quarantined = QuarantinedPart(DEADLY, 60.0, 1, (("runner-8", 1), ("runner-9", 1)))
        entry.forwarder.prompt_guard.on_evidence(PromptEvidence(quarantined=(quarantined,)))
        response = await entry.send_request(**run_stream(PROMPT))
        assert response.status == 400
        assert b"part dead of the prompt crashed 2 endpoints" in response.body
        assert not entry.received_requests
        assert (await entry.send_request(**run_stream(SOUND_PROMPT))).whole

    run_with_entry(body)


@pytest.mark.parametrize("ending", ["reset", "silence"])
def test_lost_connection_is_taken_for_a_crash(ending: str) -> None:
    # Only an endpoint that refuses connections afterwards has crashed.
    async def body(entry: EntryFixture) -> None:
        async def fail_once(request: ReceivedRequest, stream: SocketStream) -> None:
            if len(entry.received_requests) == 1:
                if ending == "silence":
                    await anyio.sleep(5.0)
                return
            await stream.send(stream_head(request) + chunked(event(1)) + chunked(b""))

        for name in ("runner-1", "runner-2"):
            await entry.add_endpoint(name, fail_once)
        response = await entry.send_request(
            **run_stream(PROMPT), bergamotchute_deadline_remaining="2000"
        )
        assert response.whole
        assert not entry.posted_evidence

    run_with_entry(body)


def test_part_that_another_entry_knows_as_sound_stays_a_suspect() -> None:
    async def body(entry: EntryFixture) -> None:
        await entry.add_endpoint("runner-1", crash_on_deadly(entry))
        assert (await entry.send_request(**run_stream(SOUND_PROMPT))).whole
        guard = entry.forwarder.prompt_guard
        told = Crash("model", "runner-9", 7, ("aa01", "dead"))
        guard.on_evidence(PromptEvidence(crashes=((told, 0.0),)))
        assert entry.posted_evidence == [PromptEvidence(sound=(Suspect("model", "aa01"),))]
        assert set(guard.table.suspects.crashes_by_part) == {DEADLY}
        guard.on_evidence(PromptEvidence(crashes=((told, 0.0),)))
        assert len(entry.posted_evidence) == 1, "old evidence is not answered again"

    run_with_entry(body)


def test_probe_with_two_suspects_lets_another_entry_probe_the_second() -> None:
    async def body(entry: EntryFixture) -> None:
        await entry.add_endpoint("runner-1", crash_on_deadly(entry))
        guard = entry.forwarder.prompt_guard
        crashes = tuple(
            (Crash("model", f"runner-{part}", 7, (part,)), 60.0) for part in ("bb02", "cc03")
        )
        guard.on_evidence(PromptEvidence(crashes=crashes))
        assert (await entry.send_request(**run_stream("bb02:40,cc03:95,0f0f:231"))).whole
        probed = PromptEvidence(probed=(Suspect("model", "bb02"), Suspect("model", "cc03")))
        assert probed in entry.posted_evidence

    run_with_entry(body)


def test_request_is_held_although_another_entry_clears_its_part() -> None:
    async def body(entry: EntryFixture) -> None:
        await entry.add_endpoint("runner-1", crash_on_deadly(entry))
        guard = entry.forwarder.prompt_guard
        told = Crash("model", "runner-9", 7, ("aa01",))
        guard.on_evidence(PromptEvidence(crashes=((told, 0.0),)))

        async def clear_soon() -> None:
            await anyio.sleep(0.05)
            guard.on_evidence(PromptEvidence(sound=(Suspect("model", "aa01"),)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(clear_soon)
            assert (await entry.send_request(**run_stream(SOUND_PROMPT))).whole

    run_with_entry(body)


@pytest.mark.parametrize(
    ("header", "parts"),
    [
        ("", ()),
        ("5c1e07a2:800", ()),
        ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("AB:1, ab:2 ,cd:3", ("ab",)),
        ("aa:1,aa:1,aa:1", ("aa",)),
        ("aa:1,,bb:2", ()),
        ("aa:1,bb", ()),
        ("aa:1,xyz:2,bb:3", ()),
        ("aa:-1,bb:2", ()),
        ("aa:1," + "b" * 65 + ":2,cc:3", ()),
        (",".join(f"{number:x}:1" for number in range(2000)), None),
    ],
)
def test_malformed_prompt_parts_raise_or_become_suspects(
    header: str, parts: tuple[str, ...] | None
) -> None:
    head = RequestHead("POST", "/", (("bergamotchute-prompt-prefix", header),))
    read = REQUEST_FORMAT.read_request(head).shared_parts
    if parts is None:
        assert len(read) == 1999
    else:
        assert read == parts


def test_operator_can_not_see_or_clear_a_quarantined_part(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def body(entry: EntryFixture) -> None:
        await entry.add_endpoint("runner-1", crash_on_deadly(entry))
        guard = entry.forwarder.prompt_guard
        quarantined = QuarantinedPart(DEADLY, 60.0, 1, (("runner-8", 1), ("runner-9", 1)))
        told = Crash("model", "runner-9", 7, ("bb02",))
        guard.on_evidence(PromptEvidence(crashes=((told, 0.0),), quarantined=(quarantined,)))
        metrics = entry.forwarder.metrics.handle_request
        server = Http1Server(prompt_part_handler(guard.table, guard.clear, metrics))
        address = await entry._listen(server._accept)
        async with httpx.AsyncClient(base_url=f"http://{address}") as client:
            listed = (await client.get("/prompt-parts")).json()
            assert [each["part"] for each in listed["quarantined"]] == ["dead"]
            assert [each["part"] for each in listed["suspects"]] == ["bb02"]
            assert (await client.delete("/prompt-parts?service=model")).status_code == 400
            assert (await client.post("/prompt-parts")).status_code == 405
            assert (await client.get("/metrics")).status_code == 200
            run = partial(anyio.to_thread.run_sync, main)
            assert await run(["prompt-parts", str(address)]) == ExitCode.OK
            assert await run(["prompt-parts", str(address), "--clear", "model", "bb02"]) == 0
            assert await run(["prompt-parts", str(address), "--clear", "model", "bb02"]) == 1
            assert await run(["prompt-parts", "127.0.0.1:1"]) == ExitCode.UNREACHABLE
            cleared = "/prompt-parts?service=model&part=dead"
            assert (await client.delete(cleared)).status_code == 200
            assert (await client.delete(cleared)).status_code == 404
            assert not (await client.get("/prompt-parts")).json()["quarantined"]
        assert PromptEvidence(cleared=(DEADLY,)) in entry.posted_evidence

    run_with_entry(body)
    printed = capsys.readouterr().out
    assert "quarantined" in printed
    assert "runner-8 runner-9" in printed
    assert "cleared bb02" in printed


def test_each_request_looks_through_all_suspects() -> None:
    async def body(entry: EntryFixture) -> None:
        table = entry.forwarder.prompt_guard.table
        looks: list[float] = []
        update = table.suspects.update
        table.suspects.update = lambda now: looks.append(now) or update(now)  # type: ignore[method-assign, func-returns-value]
        told = Crash("model", "runner-9", 7, ("bb02",))
        table.record_crash(told, 0.0, "link")
        for _ in range(100):
            table.update()
        assert len(looks) == 1

    run_with_entry(body)


def crash_on_body(entry: EntryFixture, body: bytes) -> EndpointScript:
    """Return a script that crashes the endpoint on a body and answers otherwise."""

    async def run(request: ReceivedRequest, stream: SocketStream) -> None:
        if request.body == body:
            await entry.crash(request.endpoint)
        else:
            await stream.send(answer(request))

    return run


async def send_body(entry: EntryFixture, route: str, body: bytes) -> CallerResponse:
    return await entry.send_request(route, body=body)


def test_request_without_a_prompt_crashes_one_endpoint_after_the_other() -> None:
    async def body(entry: EntryFixture) -> None:
        entry.has_rank_group = False
        for number in range(5):
            await entry.add_endpoint(f"runner-{number}", crash_on_body(entry, b"deadly"))
        assert (await send_body(entry, "status", b"deadly")).status == 502
        assert len(entry.received_requests) == 2, "the retry that the route allows"
        held = await send_body(entry, "status", b"deadly")
        assert held.status in (503, 400), "the second crash may be old enough for the verdict"
        await anyio.sleep(0.3)
        for _ in range(3):
            rejected = await send_body(entry, "status", b"deadly")
            assert rejected.status == 400
            assert b"the request crashed 2 endpoints" in rejected.body
        assert len(entry.received_requests) == 2
        assert (await send_body(entry, "status", b"harmless")).status == 200

    run_with_entry(body)


def test_request_that_crashed_a_rank_is_sent_to_another_group() -> None:
    async def body(entry: EntryFixture) -> None:
        for number in range(3):
            await entry.add_endpoint(f"runner-{number}", crash_on_body(entry, b"deadly"))
        assert (await send_body(entry, "status", b"deadly")).status == 502
        held = await send_body(entry, "status", b"deadly")
        assert held.status == 503
        assert float(held.headers["retry-after"]) > 25.0
        assert len(entry.received_requests) == 1
        assert (await send_body(entry, "status", b"harmless")).status == 200
        suspects = [name for each, _ in entry.posted_evidence[0].crashes for name in each.parts]
        assert len(suspects) == 1
        assert suspects[0].startswith("request-")

    run_with_entry(body)


def test_order_that_crashed_its_endpoint_is_reported_as_not_run() -> None:
    async def body(entry: EntryFixture) -> None:
        entry.has_rank_group = False
        for number in range(3):
            await entry.add_endpoint(f"runner-{number}", crash_on_body(entry, b"deadly"))
        assert (await send_body(entry, "order", b"deadly")).status == 502
        assert len(entry.received_requests) == 1

    run_with_entry(body)


def test_request_of_another_team_or_path_is_held_with_a_deadly_one() -> None:
    digests = {
        digest_request("team-1", "GET", "/status/1", b"x"),
        digest_request("team-2", "GET", "/status/1", b"x"),
        digest_request("team-1", "POST", "/status/1", b"x"),
        digest_request("team-1", "GET", "/status/1?a", b"x"),
        digest_request("team-1", "GET", "/status/1", b""),
        digest_request("team-1", "GET", "/status/", b"1x"),
    }
    assert len(digests) == 6
    assert digest_request("team-1", "GET", "/status/1", b"x") in digests

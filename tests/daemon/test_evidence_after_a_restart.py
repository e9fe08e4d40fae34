"""What the control VMs know of crashes and limits reaches one of them that is restarted."""

from __future__ import annotations

import anyio
import pytest

from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import ControlGroup as ToldGroup
from bergamotchute_model.node_messages import NodeMessage
from bergamotchute_model.prompt_parts import Crash, PromptEvidence
from bergamotchute_model.rate_limits import EndpointRateLimit, RateLimitsReported
from bergamotchute_wire.web_socket_link import SILENCE_TIMEOUT_S
from support.control_group import PORT, ControlGroup, host, run_control

DOWN_S = 1.0


@pytest.mark.parametrize("is_silent", [False, True])
def test_a_restarted_control_vm_learns_what_the_others_know(is_silent: bool) -> None:
    """Without power no link is closed: the others see a link end once it has been silent."""

    async def body(group: ControlGroup) -> None:
        await group.found(3)
        leader = group.leader
        assert leader is not None
        await anyio.sleep(2.0)
        for process in group.processes.values():
            crash = Crash("model", "runner-1", 1000, ("part",))
            process.node_hub.prompt_evidence.record_crash(crash, 0.0, "test")
            limit = EndpointRateLimit("runner-1", 1000, 5.0, 0.0)
            process.node_hub.rate_limits.merge(RateLimitsReported((limit,)))
        lost = (leader + 1) % 3
        name = f"control-{lost}"
        ends = [link for link in group.network.links if link.peer == name]
        if is_silent:
            group.isolate(lost)
            group.scopes[lost].cancel()
        else:
            group.kill(lost)
        await anyio.sleep(DOWN_S)
        for other in group.processes:
            group.network.reconnect(name, f"control-{other}")
        process = group.start(lost)
        await anyio.sleep(SILENCE_TIMEOUT_S - DOWN_S)
        for link in ends:
            link.close_end("mute")
        await anyio.sleep(20.0)
        hub = process.node_hub
        assert len(hub.followers) == 2
        known = len(hub.prompt_evidence.suspects.crashes), len(hub.rate_limits.table.limits)
        assert known == (1, 1)

    run_control(body)


def test_a_control_vm_that_announces_nothing_is_told_nothing_new() -> None:
    """A control VM of an earlier build closes a link with a kind of message that it can't read."""

    async def body(group: ControlGroup) -> None:
        await group.found(3)
        hub = group.processes[0].node_hub
        peers = [Address(host(number), PORT) for number in (1, 2)]
        posted: list[tuple[Address, NodeMessage]] = []
        hub.peers.post = lambda *each: posted.append(each)  # type: ignore[method-assign]
        for peer, reads in zip(peers, (False, True), strict=True):
            hub.peers.on_closed(peer)
            told = ToldGroup((), 0, accepts_prompt_evidence=reads, accepts_rate_limits=reads)
            hub.peers.on_message(peer, told)
            hub.peers.on_message(peer, told)
        crash = Crash("model", "runner-1", 1000, ("part",))
        hub.post_prompt_evidence(PromptEvidence(crashes=((crash, 0.0),)))
        assert {peer for peer, _ in posted} == {peers[1]}
        kinds = [message.kind for _, message in posted]
        assert kinds == ["prompt_evidence", "rate_limits_reported", "prompt_evidence"]

    run_control(body)

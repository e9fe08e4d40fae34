"""A part that an operator cleared while one control VM was cut off from the others."""

from __future__ import annotations

import anyio

from bergamotchute_model.prompt_parts import Crash, PromptEvidence, QuarantinedPart, Suspect
from support.control_group import ControlGroup, run_control

PART = Suspect("model", "part")
CRASHES = (("runner-1", 1000), ("runner-2", 1000), ("runner-3", 1000))


def test_a_cleared_part_stays_cleared_when_the_control_vm_is_back() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        leader = group.leader
        assert leader is not None
        await anyio.sleep(2.0)
        evidence = PromptEvidence(
            tuple((Crash("model", name, born, ("part",)), 0.0) for name, born in CRASHES),
            quarantined=(QuarantinedPart(PART, 600.0, 1, CRASHES),),
        )
        for process in group.processes.values():
            process.node_hub.prompt_evidence.merge(evidence)
        cut_off = (leader + 1) % 3
        group.isolate(cut_off)
        await anyio.sleep(10.0)
        hub = group.processes[leader].node_hub
        assert hub.clear_prompt_part(PART)
        await anyio.sleep(1.0)
        assert PART not in hub.prompt_evidence.suspects.quarantines
        for other in group.processes:
            if other != cut_off:
                group.network.reconnect(f"control-{cut_off}", f"control-{other}")
        await anyio.sleep(20.0)
        for process in group.processes.values():
            assert PART not in process.node_hub.prompt_evidence.suspects.quarantines

    run_control(body)

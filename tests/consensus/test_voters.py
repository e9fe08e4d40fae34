"""Whole voters: founding, leases, proposals, losses and repairs."""

from __future__ import annotations

import anyio
import pytest

from bergamotchute_model.commands import FenceGranted
from support.voters import VoterGroup, fence, run_voters


@pytest.mark.parametrize("size", [1, 3, 5])
def test_a_founded_group_commits_and_grants_leases_at_every_voter(size: int) -> None:
    async def body(group: VoterGroup) -> None:
        group.start_all()
        await anyio.sleep(6.0)
        for number in range(size):
            result = await group.commit(number, fence(number))
            assert result == FenceGranted("runner-0", number + 1)
            grant = await group.lease(number)
            assert grant is not None
            assert grant.duration_s > 0

    run_voters(body, size)

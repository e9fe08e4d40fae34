"""Whole voters: founding, leases, proposals, losses and repairs."""

from __future__ import annotations

import hashlib

import anyio
import pytest

from bergamotchute_model.commands import ApplyFile, FenceGranted
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


def voters_file(number: int, group: VoterGroup, identities: list[str]) -> ApplyFile:
    """Return the file that names the voters."""
    lines = [f"file: voters\nnumber: {number}\nvoters:\n"]
    for identity in identities:
        place = next(one for one in group.voters if group.identity(one) == identity)
        address = group.address(place)
        lines.append(
            f"  - replica: {identity}\n    address: {address}\n    availability_zone: zone-{place}\n"
        )
    text = "".join(lines)
    return ApplyFile("voters", number, text, hashlib.sha256(text.encode()).hexdigest())


async def founded(group: VoterGroup) -> int:
    """Start all voters and return the leader once there is one."""
    group.start_all()
    await anyio.sleep(6.0)
    assert group.leader is not None
    return group.leader


def test_voters_without_the_flag_found_nothing() -> None:
    async def body(group: VoterGroup) -> None:
        group.start_all(bootstrap=False)
        await anyio.sleep(30.0)
        assert group.leader is None
        assert await group.lease(0) is None

    run_voters(body)


@pytest.mark.parametrize("survivor", range(3))
def test_a_majority_that_was_emptied_founds_nothing_even_with_the_flag(survivor: int) -> None:
    async def body(group: VoterGroup) -> None:
        await founded(group)
        for number in {0, 1, 2} - {survivor}:
            group.wipe(number)
            group.start(number, bootstrap=True)
        await anyio.sleep(30.0)
        assert group.leader is None
        assert await group.commit(survivor, fence(1)) is None

    run_voters(body)


def test_emptied_voters_found_nothing_while_the_survivor_is_cut_off() -> None:
    async def body(group: VoterGroup) -> None:
        await founded(group)
        for number in (0, 1):
            group.network.cut("voter-2", f"voter-{number}")
            group.wipe(number)
            group.start(number, bootstrap=True)
        await anyio.sleep(30.0)
        assert group.leader is None

    run_voters(body)


def test_an_emptied_voter_votes_again_once_the_file_names_it() -> None:
    async def body(group: VoterGroup) -> None:
        leader = await founded(group)
        assert await group.commit(leader, fence(1)) == FenceGranted("runner-0", 1)
        emptied = (leader + 1) % 3
        former = group.identity(emptied)
        group.wipe(emptied)
        group.start(emptied)
        await anyio.sleep(5.0)
        status = await group.status(leader)
        assert status is not None
        assert status.can_lose == 0, "a repair that isn't done doesn't count"
        fresh = group.identity(emptied)
        assert fresh != former
        waiting = next(one for one in status.voters if one.replica == fresh)
        assert (waiting.votes, waiting.caught_up) == (False, True)
        named = [group.identity(number) for number in range(3)]
        assert await group.commit(leader, voters_file(1, group, named)) is not None
        await anyio.sleep(8.0)
        status = await group.status(leader)
        assert status is not None
        assert sorted(one.replica for one in status.voters if one.votes) == sorted(named)
        assert status.can_lose == 1
        other = 3 - leader - emptied
        group.kill(other, with_power_loss=True)
        await anyio.sleep(6.0)
        assert group.leader is not None
        assert await group.commit(emptied, fence(2)) == FenceGranted("runner-0", 2)

    run_voters(body)


def test_the_leader_makes_way_when_the_file_replaces_it() -> None:
    async def body(group: VoterGroup) -> None:
        leader = await founded(group)
        group.size = 4
        group.start(3)
        await anyio.sleep(5.0)
        named = [group.identity(number) for number in range(4) if number != leader]
        assert await group.commit(leader, voters_file(1, group, named)) is not None
        await anyio.sleep(15.0)
        assert group.leader not in (None, leader)
        status = await group.status(group.leader or 0)
        assert status is not None
        assert sorted(one.replica for one in status.voters if one.votes) == sorted(named)

    run_voters(body)


def test_a_voter_that_is_cut_off_grants_no_lease_and_says_no() -> None:
    async def body(group: VoterGroup) -> None:
        leader = await founded(group)
        for other in {0, 1, 2} - {leader}:
            group.network.cut(f"voter-{leader}", f"voter-{other}")
        assert await group.lease(leader) is None
        assert await group.commit(leader, fence(1)) is None
        await anyio.sleep(6.0)
        assert group.leader not in (None, leader)
        survivor = group.leader
        assert survivor is not None
        assert await group.lease(survivor) is not None
        assert await group.lease(leader) is None

    run_voters(body)


def test_every_result_is_the_same_after_all_were_killed() -> None:
    async def body(group: VoterGroup) -> None:
        leader = await founded(group)
        for number in range(30):
            await group.commit((leader + number) % 3, fence(number))
        for number in range(3):
            group.kill(number, with_power_loss=True)
        for number in range(3):
            group.start(number)
        await anyio.sleep(6.0)
        assert await group.commit(0, fence(29)) == FenceGranted("runner-0", 30)
        assert await group.commit(1, fence(30)) == FenceGranted("runner-0", 31)

    run_voters(body)


@pytest.mark.parametrize("fault", ["full", "sync"])
def test_a_voter_whose_disk_fails_comes_back_by_itself(fault: str) -> None:
    async def body(group: VoterGroup) -> None:
        leader = await founded(group)
        disk = group.disks[leader]
        disk.sync_fails = fault == "sync"
        disk.capacity_bytes = 0 if fault == "full" else None
        await group.commit(leader, fence(1))
        await anyio.sleep(6.0)
        assert group.leader not in (None, leader)
        result = await group.commit((leader + 1) % 3, fence(2))
        assert result is not None
        disk.sync_fails, disk.capacity_bytes = False, None
        await anyio.sleep(12.0)
        assert await group.lease(leader) is not None

    run_voters(body)


def test_a_voter_with_a_damaged_folder_takes_no_part() -> None:
    async def body(group: VoterGroup) -> None:
        leader = await founded(group)
        for number in range(5):
            await group.commit(leader, fence(number))
        damaged = (leader + 1) % 3
        group.kill(damaged)
        disk = group.disks[damaged]
        name = next(one for one in disk.file_names() if one.startswith("log-"))
        disk.files[name].data[40] ^= 1
        voter = group.start(damaged)
        await anyio.sleep(10.0)
        assert voter.replica is None
        assert any(record.event == "voter_refuses" for record in voter.log.recent_records)
        assert await group.lease(damaged) is None
        assert await group.commit(leader, fence(9)) == FenceGranted("runner-0", 6)

    run_voters(body)


def test_a_new_leader_does_not_take_a_dead_voter_for_whole() -> None:
    async def body(group: VoterGroup) -> None:
        leader = await founded(group)
        dead = group.identity(leader)
        group.kill(leader, with_power_loss=True)
        del group.voters[leader]
        answers = 0
        for _ in range(600):
            await anyio.sleep(0.01)
            status = await group.status(group.leader) if group.leader is not None else None
            if status is None:
                continue
            answers += 1
            assert status.can_lose == 0
            lost = next(one for one in status.voters if one.replica == dead)
            assert not lost.reachable
        assert answers > 100

    run_voters(body)

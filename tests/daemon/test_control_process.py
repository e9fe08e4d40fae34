"""Control VMs that form a group without an operator: configurations, departures, lost VMs."""

from __future__ import annotations

import anyio
import pytest

from bergamotchute_consensus.messages import Introduction
from bergamotchute_consensus.replica import Replica
from bergamotchute_daemon.node_runner import NODES_PATH
from bergamotchute_daemon.voter import INTRODUCTION_INTERVAL_S, Voter
from bergamotchute_model.endpoint_heartbeat import EndpointPhase
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    ConfigurationText,
    ConfigurationVersion,
    DepartureSeen,
    DeparturesRecorded,
    NodeMessage,
    QueryConfiguration,
)
from support.control_group import (
    FOLLOWING_ENTRY,
    PORT,
    ControlGroup,
    heartbeat,
    host,
    run_control,
)


async def configuration_at(group: ControlGroup, number: int) -> tuple[int, bytes] | None:
    held = await group.processes[number].read_configuration()
    return (held.version, held.text) if held is not None else None


def test_three_seeds_form_a_group_that_other_processes_join() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        assert await group.processes[4].put_configuration(3, b"three")
        for number in range(5):
            assert await configuration_at(group, number) == (3, b"three")

    run_control(body)


def test_the_highest_version_wins_and_every_other_is_acknowledged_unchanged() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        assert await group.processes[0].put_configuration(7, b"seven")
        assert await group.processes[1].put_configuration(7, b"another seven")
        assert await group.processes[2].put_configuration(5, b"five")
        assert await configuration_at(group, 1) == (7, b"seven")

    run_control(body)


def test_concurrent_writes_of_one_version_leave_one_content() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(group.processes[0].put_configuration, 7, b"one")
            tasks.start_soon(group.processes[2].put_configuration, 7, b"other")
        contents = {await configuration_at(group, number) for number in range(3)}
        assert len(contents) == 1

    run_control(body)


def test_the_log_names_the_index_of_an_acknowledgement_and_of_a_read() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        for number in range(3):
            assert await group.processes[number].put_configuration(3 + number, b"text")
            await configuration_at(group, (number + 1) % 3)
            records = group.processes[number].log.recent_records
            put = next(each for each in records if each.event == "configuration_put")
            records = group.processes[(number + 1) % 3].log.recent_records
            read = next(each for each in reversed(records) if each.event == "configuration_read")
            assert put.fields["version"] == read.fields["version"] == 3 + number
            assert 0 < int(put.fields["index"]) <= int(read.fields["index"])

    run_control(body)


def test_an_isolated_process_returns_no_configuration() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        await group.processes[0].put_configuration(3, b"three")
        isolated = group.leader
        assert isolated is not None
        group.isolate(isolated)
        others = [number for number in range(5) if number != isolated]
        assert await configuration_at(group, isolated) is None
        await group.wait_until(lambda: group.leader in others)
        assert await group.processes[others[0]].put_configuration(4, b"four")
        assert await configuration_at(group, isolated) is None
        assert not await group.processes[isolated].put_configuration(9, b"nine")
        assert await configuration_at(group, others[1]) == (4, b"four")

    run_control(body)


@pytest.mark.parametrize("power", [False, True])
def test_acknowledged_configurations_survive_the_loss_of_all_processes(power: bool) -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        assert await group.processes[2].put_configuration(3, b"three")
        await group.restart_all(power)
        assert await configuration_at(group, 1) == (3, b"three")

    run_control(body)


def test_a_process_with_an_erased_disk_votes_again_without_data_loss() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        leader = group.leader
        assert leader is not None
        assert await group.processes[leader].put_configuration(3, b"three")
        group.wipe(leader)
        await anyio.sleep(0.3)
        group.start(leader)
        await group.wait_until(lambda: group.votes(leader) and group.voter_count() == 5)
        assert await configuration_at(group, leader) == (3, b"three")
        other = (leader + 1) % 5
        group.wipe(other)
        await group.wait_until(lambda: group.leader is not None)
        assert await configuration_at(group, leader) == (3, b"three")

    run_control(body)


def test_a_departure_reported_by_entries_is_recorded_and_sent_to_followers() -> None:
    """Guards against a departure being lost when entries report it several times.

    Each entry reports every answer in which an endpoint says that it leaves.
    """

    async def body(group: ControlGroup) -> None:
        await group.found(3)
        heard: list[NodeMessage] = []
        dial = group.network.dial("entry-2", NODES_PATH)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(group.follow, 2, heard)
            async with dial(Address(host(0), PORT)) as link:
                for _ in range(5):
                    await link.send(DepartureSeen("runner-1", 1000))
                recorded = DeparturesRecorded((("runner-1", 1000),))
                await group.wait_until(lambda: recorded in heard)
            tasks.cancel_scope.cancel()
        replica = group.processes[0].voter.state.state
        assert replica.departures.departed_born_ms == {"runner-1": 1000}

    run_control(body)


def test_a_process_that_refuses_its_folder_says_so_while_the_others_serve() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        assert await group.processes[0].put_configuration(3, b"three")
        damaged = next(number for number in range(3) if number != group.leader)
        group.kill(damaged)
        disk = group.disks[damaged]
        log_file = next(name for name in disk.file_names() if name.startswith("log-"))
        disk.files[log_file].data[40] ^= 1
        process = group.start(damaged)
        await anyio.sleep(5)
        assert process.gauges()["folder_refused"] == 1.0
        assert process.gauges()["voters"] == 0.0
        assert any(each.event == "voter_refuses" for each in process.log.recent_records)
        assert await configuration_at(group, damaged) is None
        assert not await process.put_configuration(4, b"four")
        healthy = next(number for number in range(3) if number != damaged)
        assert group.processes[healthy].gauges()["folder_refused"] == 0.0
        assert await group.processes[healthy].put_configuration(4, b"four")
        assert await configuration_at(group, healthy) == (4, b"four")

    run_control(body)


def test_a_permanently_lost_process_is_replaced_by_another() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        await group.processes[0].put_configuration(3, b"three")
        group.kill(1)
        await anyio.sleep(1)
        group.start(5)
        counts: set[int] = set()

        def is_replaced() -> bool:
            counts.add(group.voter_count())
            return group.votes(5) and group.voter_count() == 5

        await group.wait_until(is_replaced)
        assert counts <= {0, 4, 5}, "the lost process still votes beside its successor"
        await anyio.sleep(15)
        assert group.voter_count() == 5
        assert await configuration_at(group, 5) == (3, b"three")

    run_control(body)


def test_a_late_introduction_of_an_emptied_process_removes_no_healthy_voter() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        emptied = next(number for number in range(5) if number != group.leader)
        former = group.processes[emptied].voter.replica
        assert former is not None
        late = Introduction(former.state.local_member, former.state.hard_state.cluster, False, ())
        group.wipe(emptied)
        await anyio.sleep(0.3)
        group.start(emptied)
        await group.wait_until(lambda: group.votes(emptied) and group.voter_count() == 5)
        assert group.leader is not None
        for _ in range(100):
            group.processes[group.leader].voter.on_introduction(late)
            await anyio.sleep(0.1)
            assert group.votes(emptied)
            assert group.voter_count() == 5
        replica = group.processes[group.leader].voter.replica
        assert replica is not None
        assert not replica.state.membership.learners, "no replica runs under the former identity"

    run_control(body)


@pytest.mark.parametrize("is_leader_cut_off", [False, True])
def test_a_majority_of_the_counted_processes_has_a_leader_once_a_lost_one_is_replaced(
    is_leader_cut_off: bool,
) -> None:
    """Guards against a dead voter that raises the quorum after its successor has got the vote."""

    async def body(group: ControlGroup) -> None:
        await group.found(5)
        lost = next(number for number in range(5) if number != group.leader)
        group.kill(lost)
        await anyio.sleep(1)
        group.start(5)
        await group.wait_until(lambda: group.votes(5))
        counted = [number for number in range(6) if number != lost]
        leader_first = sorted(counted, key=lambda number: number != group.leader)
        minority = leader_first[:2] if is_leader_cut_off else leader_first[3:]
        majority = [number for number in counted if number not in minority]
        for number in minority:
            for other in majority:
                group.network.cut(f"control-{number}", f"control-{other}")
        await group.wait_until(lambda: group.leader in majority, wait_timeout_s=5.0)
        await anyio.sleep(2)
        assert group.leader in majority
        assert await group.processes[majority[0]].put_configuration(3, b"three")

    run_control(body)


def test_a_member_removed_while_it_was_down_rejoins() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        removed = next(number for number in range(5) if number != group.leader)
        group.kill(removed)
        await group.wait_until(lambda: group.voter_count() == 4)
        group.start(removed)
        await group.wait_until(lambda: group.voter_count() == 5)

    run_control(body)


def test_a_departure_survives_the_process_that_acknowledged_it() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        recorder = next(number for number in range(5) if number != group.leader)
        other = next(number for number in range(5) if number not in (recorder, group.leader))
        heard: list[NodeMessage] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(group.follow, other, heard)
            await anyio.sleep(0.5)
            leaving = heartbeat(2, EndpointPhase.LEAVING)
            assert await group.processes[recorder].on_heartbeat(leaving)
            group.kill(recorder, with_power_loss=True)
            await anyio.sleep(1.5)
            tasks.cancel_scope.cancel()
        departures = [message for message in heard if isinstance(message, DeparturesRecorded)]
        assert (("runner-1", 1000),) in [message.departures for message in departures]

    run_control(body)


def test_a_departure_is_not_acknowledged_without_a_quorum() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(3)
        group.kill(1)
        group.kill(2)
        await anyio.sleep(2)
        assert not await group.processes[0].on_heartbeat(heartbeat(2, EndpointPhase.LEAVING))
        assert await group.processes[0].on_heartbeat(heartbeat(3))

    run_control(body)


def test_a_follower_receives_a_version_only_after_a_quorum_confirmed_it() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        await group.processes[0].put_configuration(3, b"three")
        isolated = next(number for number in range(5) if number != group.leader)
        group.isolate(isolated)
        await anyio.sleep(4)
        heard: list[NodeMessage] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(group.follow, isolated, heard)
            await anyio.sleep(4)
            assert not any(isinstance(message, ConfigurationVersion) for message in heard)
            for other in range(5):
                group.network.reconnect(f"control-{isolated}", f"control-{other}")
            await anyio.sleep(6)
            assert ConfigurationVersion(3) in heard
            tasks.cancel_scope.cancel()

    run_control(body)


def test_a_follower_receives_no_text_that_may_be_older_than_its_version() -> None:
    """Guards against a new entry that serves by an older configuration.

    An entry asks all control VMs for a text that it was told of and that doesn't arrive.
    """

    async def body(group: ControlGroup) -> None:
        await group.found(5)
        await group.processes[0].put_configuration(3, b"three")
        isolated = next(number for number in range(5) if number != group.leader)
        await group.wait_until(
            lambda: group.processes[isolated].voter.state.state.configuration.version == 3
        )
        group.isolate(isolated)
        assert group.leader is not None
        assert await group.processes[group.leader].put_configuration(4, b"four")
        heard: list[NodeMessage] = []
        dial = group.network.dial("entry", NODES_PATH)
        async with (
            dial(Address(host(isolated), PORT)) as link,
            anyio.create_task_group() as tasks,
        ):
            await link.send(FOLLOWING_ENTRY)
            await link.send(QueryConfiguration())

            async def receive() -> None:
                while True:
                    heard.append(await link.receive())

            tasks.start_soon(receive)
            await anyio.sleep(2)
            assert not any(isinstance(message, ConfigurationText) for message in heard)
            for other in range(5):
                group.network.reconnect(f"control-{isolated}", f"control-{other}")
            await group.wait_until(lambda: ConfigurationVersion(4) in heard)
            await anyio.sleep(0.1)
            texts = [message for message in heard if isinstance(message, ConfigurationText)]
            assert [text.version for text in texts] == [4]
            tasks.cancel_scope.cancel()

    run_control(body)


def test_an_emptied_process_founds_no_group_from_late_introductions() -> None:
    """Guards against a second cluster, whose founder could never join the group again.

    A queue to a VM that is down keeps the newest message: perhaps the introduction that its sender
    wrote before it joined.
    """

    async def body(group: ControlGroup) -> None:
        voters = [group.start(number, found=True).voter for number in (1, 2)]
        await group.wait_until(lambda: all(voter.replica is not None for voter in voters))
        late = [voter._new_introduction(voter.replica) for voter in voters if voter.replica]
        group.start(0, found=True)
        await group.wait_until(lambda: group.voter_count() == 3)
        cluster = await put_and_read_cluster(group)
        group.wipe(0)
        await anyio.sleep(0.3)
        emptied = group.start(0, found=True).voter
        await anyio.sleep(INTRODUCTION_INTERVAL_S - 0.1)
        for introduction in late:
            emptied.on_introduction(introduction)
        await group.wait_until(lambda: group.votes(0) and group.voter_count() == 3)
        assert replica_of(emptied).state.hard_state.cluster == cluster

    run_control(body)


def test_two_emptied_processes_form_no_group_of_their_own_with_a_late_introduction() -> None:
    """Guards against a second cluster with a majority, which would acknowledge and read nothing old."""

    async def body(group: ControlGroup) -> None:
        group.disks_to_lose = 2
        blank = group.start(2, found=True).voter
        await group.wait_until(lambda: blank.replica is not None)
        late = blank._new_introduction(replica_of(blank))
        for number in (0, 1, 3, 4):
            group.start(number, found=True)
        await group.wait_until(lambda: group.voter_count() == 5)
        cluster = await put_and_read_cluster(group)
        group.wipe(0)
        group.wipe(1)
        await anyio.sleep(0.3)
        emptied = [group.start(number, found=True).voter for number in (0, 1)]
        await anyio.sleep(INTRODUCTION_INTERVAL_S - 0.1)
        emptied[0].on_introduction(late)
        await anyio.sleep(4)
        assert [replica_of(voter).state.hard_state.cluster for voter in emptied] == [cluster] * 2
        assert await configuration_at(group, 0) == (3, b"three")

    run_control(body)


def replica_of(voter: Voter) -> Replica:
    assert voter.replica is not None
    return voter.replica


async def put_and_read_cluster(group: ControlGroup) -> str:
    """Commit a configuration; return the identity of the cluster that holds it."""
    assert group.leader is not None
    assert await group.processes[group.leader].put_configuration(3, b"three")
    return replica_of(group.processes[group.leader].voter).state.hard_state.cluster


def test_a_draining_leader_hands_over_leadership() -> None:
    async def body(group: ControlGroup) -> None:
        await group.found(5)
        leader = group.leader
        assert leader is not None
        await group.processes[leader].drain()
        await group.wait_until(lambda: group.leader not in (None, leader), wait_timeout_s=3.0)

    run_control(body)

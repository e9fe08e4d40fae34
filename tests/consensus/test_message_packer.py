"""Compressed contents between voters, also of different builds."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from typing import Any

import msgspec
import pytest

from bergamotchute_consensus.log_entry import EntryContent, LogEntry
from bergamotchute_consensus.membership import Member
from bergamotchute_consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    ConsensusMessage,
    ForwardedRequest,
    RequestPurpose,
)
from bergamotchute_daemon._message_packer import MAX_UNPACKED_BYTES, MessagePacker
from bergamotchute_daemon.voter import CONSENSUS_CODEC
from bergamotchute_model.identifiers import Address
from bergamotchute_wire.message_codec import MalformedMessageError
from daemon.test_large_configurations import (
    ACKNOWLEDGE_S,
    SIZE,
    Operator,
    configuration_text,
    slow_group,
)
from support.control_group import ControlGroup, run_control

LEADER = Member("leader", Address("10.0.0.1", 7000))
FOLLOWER = Member("follower", Address("10.0.0.2", 7000))
TEXT = configuration_text(3)
ENTRY = LogEntry(7, 2, EntryContent.COMMAND, TEXT)
APPEND = AppendEntries("c", LEADER, "follower", 2, 6, 2, (ENTRY,), 6, 1, accepts_packed=True)
REPLY = AppendEntriesReply("c", FOLLOWER, "leader", 2, True, 7, 6, 1, accepts_packed=True)
REQUEST = ForwardedRequest(FOLLOWER, "leader", "1", RequestPurpose.COMMAND, TEXT)


def sent(message: ConsensusMessage) -> ConsensusMessage:
    """Return a message as its receiver decodes it."""
    return CONSENSUS_CODEC.decode(CONSENSUS_CODEC.encode(message))


@pytest.mark.parametrize("message", [APPEND, REQUEST, REPLY])
def test_packed_message_differs_from_the_one_sent(message: ConsensusMessage) -> None:
    sender, receiver = MessagePacker(), MessagePacker()
    peer = replace(REPLY, sender=Member(message.recipient, FOLLOWER.address))
    sender.unpack(sent(peer))
    packed = sender.pack(message.recipient, message)
    assert len(CONSENSUS_CODEC.encode(packed)) < len(TEXT) / 10
    assert receiver.unpack(sent(packed)) == message


def test_peer_that_never_said_so_gets_packed_contents() -> None:
    # A voter of an earlier build would take a packed append for a heartbeat.
    packer = MessagePacker()
    packer.unpack(replace(REPLY, accepts_packed=False))
    assert packer.pack("follower", APPEND) is APPEND
    assert packer.pack("leader", REQUEST) is REQUEST


def test_peer_that_went_back_to_an_earlier_build_gets_packed_contents() -> None:
    packer = MessagePacker()
    packer.unpack(REPLY)
    assert packer.pack("follower", APPEND) != APPEND
    packer.unpack(replace(REPLY, accepts_packed=False))
    assert packer.pack("follower", APPEND) is APPEND


@dataclass(frozen=True)
class EarlierAppendEntries:
    """The fields that earlier builds know."""

    cluster: str
    sender: Member
    recipient: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    round: int


def test_message_can_not_be_read_by_an_earlier_build_or_from_one() -> None:
    packer = MessagePacker()
    packer.unpack(REPLY)
    for message in (APPEND, packer.pack("follower", APPEND)):
        plain: Any = msgspec.to_builtins(message, builtin_types=(bytes,))
        earlier = msgspec.convert(plain, EarlierAppendEntries)
        assert earlier.entries == message.entries  # type: ignore[union-attr]
    known = {each.name for each in fields(EarlierAppendEntries)} | {"kind"}
    old_plain = {
        key: value
        for key, value in msgspec.to_builtins(APPEND, builtin_types=(bytes,)).items()
        if key in known
    }
    decoded = msgspec.convert(old_plain, AppendEntries)
    assert decoded == replace(APPEND, accepts_packed=False)


@pytest.mark.parametrize(
    "data", [b"", b"no zlib", MessagePacker()._pack_entry(ENTRY)[:-9], bytes(MAX_UNPACKED_BYTES)]
)
def test_malformed_packed_contents_end_the_voter(data: bytes) -> None:
    message = replace(APPEND, entries=(), packed_entries=(replace(ENTRY, data=data),))
    with pytest.raises(MalformedMessageError):
        MessagePacker().unpack(message)


class EarlierPacker(MessagePacker):
    """Sends what earlier builds send, and fails on what they can't read."""

    def pack(self, recipient: str, message: ConsensusMessage) -> ConsensusMessage:
        if isinstance(message, AppendEntries | AppendEntriesReply):
            return replace(message, accepts_packed=False)
        return message

    def unpack(self, message: ConsensusMessage) -> ConsensusMessage:
        assert not getattr(message, "packed_entries", ())
        assert not getattr(message, "packed_command", b"")
        return message


@pytest.mark.parametrize("leader_is_earlier", [True, False])
def test_large_configuration_is_lost_between_builds(leader_is_earlier: bool) -> None:
    async def body(group: ControlGroup) -> None:
        await slow_group(group)
        group.network.bytes_per_s = 20_000_000
        leader = group.leader
        assert leader is not None
        others = [number for number in range(SIZE) if number != leader]
        earlier = others[:4] + ([leader] if leader_is_earlier else [])
        for number in earlier:
            group.processes[number].voter.packer = EarlierPacker()
        await group.wait_until(lambda: True)
        for number in set(range(SIZE)) - set(earlier):
            group.processes[number].voter.packer.accepting.clear()
        operator = Operator(group, others)
        await operator.put_all([3, 6, 9])
        assert max(operator.delays_s.values()) <= ACKNOWLEDGE_S
        for number in range(SIZE):
            store = await group.processes[number].read_configuration()
            assert store is not None
            assert (store.version, store.text) == (9, configuration_text(9))
        # One voter after the other is replaced by the present build, and all read the same.
        for number in earlier:
            group.processes[number].voter.packer = MessagePacker()
        await operator.put_all([12])
        for number in range(SIZE):
            store = await group.processes[number].read_configuration()
            assert store is not None
            assert store.version == 12

    run_control(body)

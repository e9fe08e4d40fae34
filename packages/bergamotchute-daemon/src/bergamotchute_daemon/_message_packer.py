"""Compression of large log entries and commands on the links between voters."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from dataclasses import dataclass, field, replace

from bergamotchute_consensus.log_entry import LogEntry
from bergamotchute_consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    ConsensusMessage,
    ForwardedRequest,
)
from bergamotchute_model.compression import decompress
from bergamotchute_wire.message_codec import MalformedMessageError
from bergamotchute_wire.web_socket_transport import MAX_MESSAGE_BYTES

MIN_PACKED_BYTES = 4_096
"""Smaller contents are sent as they are."""

MAX_UNPACKED_BYTES = MAX_MESSAGE_BYTES
"""Limit of one content, as for a whole message on a link."""

COMPRESSION_LEVEL = 1
"""The fastest; configurations already shrink to less than a tenth."""

MAX_CACHED_ENTRIES = 8


@dataclass
class MessagePacker:
    """Compresses large contents for the peers that can read them; each entry is packed once.

    Voters of earlier builds neither announce that they accept packed contents nor receive them.
    The log and its snapshots hold contents as they were proposed.

    :param accepting: the replicas whose last message announced that they accept packed contents.
    :param packed_entries: the packed data of recent entries by index and term.
    """

    accepting: set[str] = field(default_factory=set)
    packed_entries: OrderedDict[tuple[int, int], bytes] = field(default_factory=OrderedDict)

    def pack(self, recipient: str, message: ConsensusMessage) -> ConsensusMessage:
        """Return the message as it is sent to a replica."""
        if recipient not in self.accepting:
            return message
        match message:
            case AppendEntries() if _data_bytes(message) >= MIN_PACKED_BYTES:
                packed = tuple(
                    replace(entry, data=self._pack_entry(entry)) for entry in message.entries
                )
                return replace(message, entries=(), packed_entries=packed)
            case ForwardedRequest() if len(message.command) >= MIN_PACKED_BYTES:
                packed_command = zlib.compress(message.command, COMPRESSION_LEVEL)
                return replace(message, command=b"", packed_command=packed_command)
        return message

    def unpack(self, message: ConsensusMessage) -> ConsensusMessage:
        """Return a received message as its sender had it; note what the sender accepts.

        :raises MalformedMessageError: when a packed content can't be read.
        """
        if isinstance(message, AppendEntries | AppendEntriesReply):
            if message.accepts_packed:
                self.accepting.add(message.sender.replica)
            else:
                self.accepting.discard(message.sender.replica)
        match message:
            case AppendEntries(packed_entries=packed) if packed:
                entries = tuple(replace(entry, data=_unpack(entry.data)) for entry in packed)
                return replace(message, entries=entries, packed_entries=())
            case ForwardedRequest(packed_command=packed_command) if packed_command:
                return replace(message, command=_unpack(packed_command), packed_command=b"")
        return message

    def _pack_entry(self, entry: LogEntry) -> bytes:
        key = (entry.index, entry.term)
        packed = self.packed_entries.get(key)
        if packed is None:
            packed = zlib.compress(entry.data, COMPRESSION_LEVEL)
            if len(entry.data) >= MIN_PACKED_BYTES:
                self.packed_entries[key] = packed
                if len(self.packed_entries) > MAX_CACHED_ENTRIES:
                    self.packed_entries.popitem(last=False)
        return packed


def _data_bytes(message: AppendEntries) -> int:
    return sum(len(entry.data) for entry in message.entries)


def _unpack(packed: bytes) -> bytes:
    try:
        return decompress(packed, MAX_UNPACKED_BYTES)
    except ValueError as error:
        raise MalformedMessageError(f"packed content: {error}") from error

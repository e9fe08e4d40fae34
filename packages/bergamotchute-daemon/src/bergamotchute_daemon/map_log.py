"""A rank group's map record in the control log: read from the view, written by proposals."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import cbor2
import msgspec

from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model.commands import (
    Command,
    CommandResult,
    DecisionResult,
    FenceGranted,
    IssueFence,
    RecordDecision,
)
from bergamotchute_model.rank_messages import LoggedMapRecord, MapChangeId, MapRecord
from bergamotchute_policy.map_coordinator import DecisionLogged, FenceAcquired

ProposeCommand = Callable[[Command], Awaitable[CommandResult]]
"""Proposes a command; raises ``ControlUnavailable`` when no answer comes in time."""

VIEW_POLL_INTERVAL_S = 0.05


def encode_record(record: MapRecord) -> bytes:
    """Encode a record for the log."""
    return cbor2.dumps(msgspec.to_builtins(record, builtin_types=(bytes,)))


def decode_record(data: bytes) -> MapRecord | None:
    """Decode a record of the log; return ``None`` for the empty value before the first record."""
    return msgspec.convert(cbor2.loads(data), MapRecord) if data else None


@dataclass
class MapLog:
    """Reads and writes the decision ``map/GROUP``.

    :param view: the process's view, which is read only while its lease is valid.
    :param holder: name under which fencing numbers are acquired, unique to this incarnation of
        the process.
    :param fence_request_count: number of fencing numbers requested so far.
    """

    group: str
    view: ViewHolder
    propose: ProposeCommand
    holder: str
    fence_request_count: int = field(default=0)

    @property
    def name(self) -> str:
        """The name of the decision, which is also the scope of its fencing numbers."""
        return f"map/{self.group}"

    def read(self) -> LoggedMapRecord | None:
        """Return the record in the view; ``None`` while the view is not confirmed."""
        if not self.view.is_confirmed(anyio.current_time()):
            return None
        decision = self.view.decisions.get(self.name)
        if decision is None:
            return LoggedMapRecord(0, 0, None)
        return LoggedMapRecord(decision.version, decision.fence, decode_record(decision.value))

    async def acquire_fence(self) -> FenceAcquired:
        """Acquire the next fencing number, and read the record once the view includes it.

        :raises ControlUnavailable: when no answer arrived in time; a number may have been used up.
        """
        number = await self.acquire_next_fence()
        while True:
            logged = self.read()
            if logged is not None and logged.fence >= number:
                return FenceAcquired(number, logged)
            await anyio.sleep(VIEW_POLL_INTERVAL_S)

    async def acquire_next_fence(self) -> int:
        """Acquire the next fencing number.

        :raises ControlUnavailable: when no answer arrived in time; a number may have been used up.
        """
        self.fence_request_count += 1
        result = await self.propose(
            IssueFence(self.name, self.holder, str(self.fence_request_count))
        )
        assert isinstance(result, FenceGranted)
        return result.number

    async def write_record(self, change: MapChangeId, record: MapRecord) -> DecisionLogged:
        """Write a record over the version that ``change`` follows.

        :raises ControlUnavailable: when no answer arrived in time; the write may have succeeded.
        """
        value = encode_record(record)
        result = await self.propose(
            RecordDecision(self.name, change.fence, change.base_version, value)
        )
        assert isinstance(result, DecisionResult)
        return DecisionLogged(change, result.granted, result.version, decode_record(result.value))

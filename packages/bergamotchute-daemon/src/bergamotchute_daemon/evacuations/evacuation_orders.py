"""Operators' orders to evacuate an availability zone, as decisions in the control log.

The decision on a zone is written over the version that the writer read (compare-and-set). A copy of
an order that is committed late, after a newer order, therefore has no effect.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import anyio
import cbor2

from bergamotchute_daemon.control_log import ControlLog, ControlUnavailable
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.commands import (
    DecisionResult,
    FenceGranted,
    IssueFence,
    RecordDecision,
)
from bergamotchute_model.evacuations import ZoneEvacuation
from bergamotchute_model.view import DecisionInForce
from bergamotchute_state.control_state import ControlState

DECISION_PREFIX = "evacuation/"

ORDER_TIMEOUT_S = 0.9
"""Time limit for one call of an operator, who fails over to another control VM after one second."""


class OrderOutcome(StrEnum):
    """Outcome of an operator's order."""

    ACKNOWLEDGED = "acknowledged"
    UNKNOWN_ZONE = "unknown_zone"
    UNCONFIRMED = "unconfirmed"


def read_evacuations(state: ControlState) -> tuple[ZoneEvacuation, ...]:
    """Return the newest evacuation of each zone that was ever evacuated."""
    decisions = state.decisions.in_force.values()
    return tuple(
        _read_evacuation(each)
        for each in decisions
        if each.version and each.name.startswith(DECISION_PREFIX)
    )


def _read_evacuation(decision: DecisionInForce) -> ZoneEvacuation:
    zone = decision.name.removeprefix(DECISION_PREFIX)
    return ZoneEvacuation(zone, decision.version, _decode(decision.value))


def _encode(is_evacuated: bool) -> bytes:
    return cbor2.dumps({"is_evacuated": is_evacuated}, canonical=True)


def _decode(value: bytes) -> bool:
    return bool(cbor2.loads(value)["is_evacuated"])


@dataclass
class EvacuationOrders:
    """Commits operators' orders to start or end the evacuation of a zone.

    :param state: returns the state that the log was applied to on this VM.
    :param holder: identifies this process as the holder of fences.
    :param require_disk: raises :class:`ControlUnavailable` while the disk keeps failing.
    :param known_zones: returns the names of the zones that the deployment has, as far as known.
    :param on_committed: called with each order that was committed here, before it is acknowledged.
    """

    control: ControlLog
    state: Callable[[], ControlState]
    holder: str
    log: EventLog
    require_disk: Callable[[], None]
    known_zones: Callable[[], frozenset[str]]
    on_committed: Callable[[ZoneEvacuation], None]

    async def order(self, availability_zone: str, is_evacuated: bool) -> OrderOutcome:
        """Put an order to evacuate a zone, or to end that, in force, or confirm that it already is."""
        began = anyio.current_time()
        try:
            self.require_disk()
            known = self.known_zones()
            if availability_zone not in known:
                self.log.emit(
                    events.EVACUATION_REFUSED,
                    availability_zone=availability_zone,
                    known=", ".join(sorted(known)),
                )
                return OrderOutcome.UNKNOWN_ZONE if known else OrderOutcome.UNCONFIRMED
            with anyio.fail_after(ORDER_TIMEOUT_S):
                committed = await self._commit(availability_zone, is_evacuated)
        except (ControlUnavailable, TimeoutError) as error:
            self.log.emit(
                events.EVACUATION_UNCONFIRMED,
                availability_zone=availability_zone,
                is_evacuated=is_evacuated,
                detail=str(error) or f"not committed within {ORDER_TIMEOUT_S} s",
            )
            return OrderOutcome.UNCONFIRMED
        self.log.emit(
            events.EVACUATION_ORDERED,
            availability_zone=availability_zone,
            is_evacuated=is_evacuated,
            version=committed.version,
            took_ms=round(1000 * (anyio.current_time() - began)),
        )
        return OrderOutcome.ACKNOWLEDGED

    async def _commit(self, availability_zone: str, is_evacuated: bool) -> ZoneEvacuation:
        """Write the decision over the version in force until it holds what the order says.

        :raises ControlUnavailable: if no quorum answered in time.
        """
        name = f"{DECISION_PREFIX}{availability_zone}"
        while True:
            await self.control.confirm(ORDER_TIMEOUT_S)
            state = self.state()
            current = ZoneEvacuation(availability_zone, 0, False)
            decision = state.decisions.in_force.get(name)
            if decision is not None and decision.version:
                current = _read_evacuation(decision)
            if current.is_evacuated == is_evacuated:
                self.on_committed(current)
                return current
            fence = state.fences.number(name) or await self._issue_fence(name)
            command = RecordDecision(name, fence, current.version, _encode(is_evacuated))
            result = (await self.control.commit(command, ORDER_TIMEOUT_S)).result
            assert isinstance(result, DecisionResult)
            if result.granted:
                written = ZoneEvacuation(availability_zone, result.version, is_evacuated)
                self.on_committed(written)
                return written

    async def _issue_fence(self, name: str) -> int:
        """Issue the first fencing number of a zone, which a decision on it has to name."""
        command = IssueFence(name, self.holder, name)
        result = (await self.control.commit(command, ORDER_TIMEOUT_S)).result
        assert isinstance(result, FenceGranted)
        return result.number

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        evacuations = read_evacuations(self.state())
        return {"evacuated_zones": float(sum(each.is_evacuated for each in evacuations))}

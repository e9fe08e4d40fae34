"""The task beside one rank's engine: takes part in map changes and forwards messages."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from bergamotchute_daemon.control_client import ControlUnavailable
from bergamotchute_daemon.map_log import MapLog
from bergamotchute_daemon.on_demand_links import OnDemandLinks
from bergamotchute_daemon.rank_links import DialRank, RankLinks, fan_out
from bergamotchute_model.rank_messages import (
    FanOut,
    FetchMap,
    GatheredAnswers,
    MapChangeId,
    MapChangeRefused,
    MapData,
    MapRefusalReason,
    RankAnswer,
    RankMessage,
    RankReport,
    StepHeld,
)
from bergamotchute_policy.map_participant import (
    AdvanceFence,
    ClockTick,
    DiscardWeights,
    FenceAdvanced,
    LoadWeights,
    MapParticipant,
    MapRecordRead,
    ParticipantAction,
    ParticipantEvent,
    PermitSteps,
    ReplyToCoordinator,
    WeightLoadFinished,
)
from bergamotchute_wire.link import DialFailed, Link, LinkClosed

TICK_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 5.0
FETCH_TIMEOUT_S = 5.0
FETCH_RETRY_DELAY_S = 1.0
MAX_ROUTES = 64
MAX_CACHED_MAPS = 4
MAX_QUEUED_EVENTS = 256


class EngineUnreachable(Exception):
    """The engine did not answer, so its current state is unknown."""


class RankEngine(Protocol):
    """The interface of a rank's model engine that expert maps need."""

    async def load_map(self, digest: str, data: bytes) -> bool:
        """Load the weights that a map needs in addition to those in use.

        :returns: whether the engine could load them.

        :raises EngineUnreachable: when the engine does not answer.
        """

    async def drop_map(self, digest: str) -> None:
        """Free the weights that only this map needs."""

    async def permit_steps(self, permission: PermitSteps) -> int:
        """Set which steps may begin and with which epoch, until the next call.

        An engine whose peers in the group are at a step continues from that step; an engine
        without peers begins at the record's ``switch_step``.

        :param permission: the permitted steps.
        :returns: newest step begun, read after the permission took effect.
        :raises EngineUnreachable: when the engine does not answer.
        """

    async def report(self) -> RankReport | None:
        """Return the rank's load report; ``None`` when there is nothing to report."""

    @property
    def begun(self) -> int:
        """The newest step known to have begun."""


@dataclass
class RankAgent:
    """Runs one rank's part in map changes.

    The composition root passes it the engine, a function that dials its peers, and the group's
    log over the agent's control client; it serves the links of coordinators and of parent ranks
    with :meth:`serve_link`, and calls :meth:`run` in its task group.

    :param new_incarnation: returns a globally unique name for a new incarnation.
    :param maps: encoded maps by digest: the current, the previous and the prepared one.
    :param routes: by fan-out number, the link on which its answers are returned.
    :param fan_out_numbers: number of the fan-out that last carried a change, by change.
    :param is_acquiring_fence: whether a fencing number is being acquired.
    """

    group: str
    rank: int
    ranks: int
    engine: RankEngine
    log: MapLog
    dial_rank: DialRank
    new_incarnation: Callable[[], str]
    participant: MapParticipant = field(init=False)
    maps: OrderedDict[str, bytes] = field(default_factory=OrderedDict)
    routes: OrderedDict[int, Link[RankMessage]] = field(default_factory=OrderedDict)
    fan_out_numbers: dict[MapChangeId, int] = field(default_factory=dict)
    newest_fan_out_number: int = 0
    report_count: int = 0
    is_acquiring_fence: bool = False

    def __post_init__(self) -> None:
        self.sender, self.receiver = anyio.create_memory_object_stream[
            tuple[int, ParticipantEvent]
        ](MAX_QUEUED_EVENTS)
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        """Discard all commitments of the participant; the rank rejoins as a new incarnation."""
        self.participant = MapParticipant(
            self.group, self.rank, self.new_incarnation(), self.engine.begun
        )

    async def run(self) -> None:
        """Apply the group's decisions to the engine until cancelled."""
        async with self.sender, self.receiver, anyio.create_task_group() as tasks:
            self.tasks = tasks
            self.links: RankLinks = OnDemandLinks(tasks, self.dial_rank, self.on_descendant_answer)
            tasks.start_soon(self._run_clock)
            tasks.start_soon(self._run_reports)
            async for number, event in self.receiver:
                await self._handle_event(number, event)

    async def serve_link(self, link: Link[RankMessage]) -> None:
        """Serve a coordinator or a parent rank in the tree until the link closes."""
        with suppress(LinkClosed):
            while True:
                message = await link.receive()
                if isinstance(message, FanOut):
                    await self.on_fan_out(link, message)
                elif isinstance(message, FetchMap):
                    data = self.maps.get(message.digest, b"")
                    await link.send(MapData(self.group, message.digest, data))

    async def on_fan_out(self, link: Link[RankMessage], message: FanOut) -> None:
        """Forward a message to the descendant ranks and queue it for this rank."""
        self.routes[message.number] = link
        self.newest_fan_out_number = message.number
        while len(self.routes) > MAX_ROUTES:
            self.routes.popitem(last=False)
        fan_out(self.links, message.number, message.message, message.subtree)
        await self.sender.send((message.number, message.message))

    async def on_descendant_answer(self, message: RankMessage) -> None:
        """Forward answers of descendant ranks towards the sender of the request."""
        if isinstance(message, GatheredAnswers):
            await self._send_up(message)

    async def _send_up(self, message: GatheredAnswers) -> None:
        """Send answers up the tree; without a link they are lost, and the request is repeated."""
        link = self.routes.get(message.number)
        if link is None:
            return
        try:
            await link.send(message)
        except LinkClosed:
            self.routes.pop(message.number, None)

    async def _run_clock(self) -> None:
        """Pass clock ticks and the record in the view to the participant."""
        while True:
            logged = self.log.read()
            if logged is not None:
                await self.sender.send((0, MapRecordRead(logged)))
            await self.sender.send((0, ClockTick()))
            await anyio.sleep(TICK_INTERVAL_S)

    async def _run_reports(self) -> None:
        """Report to the sender of the newest fan-out; ranks are staggered over the interval."""
        await anyio.sleep(REPORT_INTERVAL_S * self.rank / self.ranks)
        while True:
            with suppress(EngineUnreachable):
                report = await self.engine.report()
                if report is not None:
                    await self._send_up(GatheredAnswers(self.newest_fan_out_number, (report,)))
            await anyio.sleep(REPORT_INTERVAL_S)

    async def _handle_event(self, number: int, event: ParticipantEvent) -> None:
        """Pass an event to the participant and execute the resulting actions in order."""
        self.participant.newest_begun_step = max(
            self.participant.newest_begun_step, self.engine.begun
        )
        had_joined = self.participant.joined
        actions = self.participant.step(event, anyio.current_time())
        passed_hold = False
        try:
            for action in actions:
                passed_hold = await self._execute_action(number, action, passed_hold=passed_hold)
        except EngineUnreachable:
            # The steps that the engine may run are unknown, so this rank must not commit to any.
            self._begin_incarnation()
            return
        if self.participant.joined and not had_joined:
            self.tasks.start_soon(self._fetch_missing_maps)

    async def _execute_action(
        self, number: int, action: ParticipantAction, *, passed_hold: bool
    ) -> bool:
        """Execute one action; return whether the engine had already passed the hold."""
        match action:
            case PermitSteps():
                return await self._permit_steps(action)
            case LoadWeights(digest=digest, data=data):
                self._cache_map(digest, data)
                self.tasks.start_soon(self._load_weights, digest, data)
            case DiscardWeights(digest=digest):
                self.maps.pop(digest, None)
                await self.engine.drop_map(digest)
            case AdvanceFence():
                if not self.is_acquiring_fence:
                    self.is_acquiring_fence = True
                    self.tasks.start_soon(self._acquire_fence)
            case ReplyToCoordinator(answer=answer):
                await self._send_reply(
                    number, self._corrected_answer(answer, passed_hold=passed_hold)
                )
        return passed_hold

    async def _permit_steps(self, permission: PermitSteps) -> bool:
        """Permit steps in the engine; return whether it had already passed the hold."""
        begun = await self.engine.permit_steps(permission)
        self.participant.newest_begun_step = max(self.participant.newest_begun_step, begun)
        if permission.hold is None or permission.record is None:
            return False
        return begun + permission.abandons_step >= permission.hold

    def _corrected_answer(self, answer: RankAnswer, *, passed_hold: bool) -> RankAnswer:
        """Replace a ``StepHeld`` that the engine had already violated with a refusal."""
        if not passed_hold or not isinstance(answer, StepHeld):
            return answer
        return MapChangeRefused(
            self.group,
            answer.change,
            self.rank,
            answer.incarnation,
            MapRefusalReason.STEP_BEGUN,
            self.participant.newest_begun_step,
        )

    async def _send_reply(self, number: int, answer: RankAnswer) -> None:
        """Send an answer towards the sender of its request; loads are answered much later."""
        change = getattr(answer, "change", None)
        if isinstance(change, MapChangeId):
            if number:
                self.fan_out_numbers = {change: number}
            number = number or self.fan_out_numbers.get(change, 0)
        await self._send_up(GatheredAnswers(number, (answer,)))

    async def _load_weights(self, digest: str, data: bytes) -> None:
        """Load weights and report the result; a failed load is retried with the next prepare."""
        loaded = False
        with suppress(EngineUnreachable):
            loaded = await self.engine.load_map(digest, data)
        await self.sender.send((0, WeightLoadFinished(digest, loaded)))

    async def _acquire_fence(self) -> None:
        """Acquire a fencing number in the group's scope."""
        try:
            with suppress(ControlUnavailable):
                number = await self.log.acquire_next_fence()
                await self.sender.send((0, FenceAdvanced(number)))
        finally:
            self.is_acquiring_fence = False

    def _cache_map(self, digest: str, data: bytes) -> None:
        """Cache a map so that peers can fetch it."""
        self.maps[digest] = data
        self.maps.move_to_end(digest)
        while len(self.maps) > MAX_CACHED_MAPS:
            self.maps.popitem(last=False)

    async def _fetch_missing_maps(self) -> None:
        """Fetch the current and previous maps from peers and have the engine load them."""
        record = self.participant.logged.record if self.participant.logged is not None else None
        if record is None:
            return
        for digest in filter(None, (record.previous_digest, record.digest)):
            while digest not in self.maps:
                data = await self._fetch_from_peers(digest)
                if data:
                    self._cache_map(digest, data)
                    with suppress(EngineUnreachable):
                        await self.engine.load_map(digest, data)
                    break
                if digest == record.previous_digest:
                    break
                await anyio.sleep(FETCH_RETRY_DELAY_S)

    async def _fetch_from_peers(self, digest: str) -> bytes:
        """Request a map from one peer after another; empty when none has it."""
        for step in range(1, self.ranks):
            data = await fetch_map(
                self.dial_rank, (self.rank + step) % self.ranks, self.group, digest
            )
            if data:
                return data
        return b""


async def fetch_map(dial: DialRank, rank: int, group: str, digest: str) -> bytes:
    """Request a map from a rank; empty when the rank does not provide it."""
    with suppress(DialFailed, LinkClosed), anyio.move_on_after(FETCH_TIMEOUT_S):
        async with dial(rank) as link:
            await link.send(FetchMap(group, digest))
            while True:
                message = await link.receive()
                if isinstance(message, MapData) and message.digest == digest:
                    return message.data
    return b""

"""The agent process: runs the wired components and drains them at shutdown."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from bergamotchute_daemon._asgi import Receive, Scope, Send, read_head, send_problem
from bergamotchute_daemon.agent import Agent
from bergamotchute_daemon.control_client import ControlClient
from bergamotchute_daemon.entry_app import answer_lifespan
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.metrics import Metrics
from bergamotchute_daemon.process_app import PATHS, ProcessApp
from bergamotchute_daemon.settings import AgentSettings
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model.control_messages import Announce
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError

TELL_DRAIN_S = 1.0
"""How long a drained agent keeps answering entries that have not yet seen it drain."""


@dataclass
class AgentProcess:
    """The components of one agent process.

    :param client: client of the control plane, linked to a relay.
    """

    settings: AgentSettings
    log: EventLog
    view: ViewHolder
    agent: Agent
    client: ControlClient
    process: ProcessApp
    sequence: int = 0

    async def run(self) -> None:
        """Run all components until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.client.run)
            tasks.start_soon(self.agent.report_load)
            tasks.start_soon(self.agent.watch)

    async def drain(self) -> bool:
        """Announce the drain, refuse new attempts and wait for the running ones.

        :returns: whether all attempts ended in time.
        """
        self.agent.table.draining = True
        await self.client.announce_now()
        ended = await self.agent.drain(self.settings.drain_bound_s)
        await anyio.sleep(TELL_DRAIN_S)
        return ended

    def announce(self) -> Announce:
        """Return the next announcement for the relay."""
        self.sequence += 1
        settings, table = self.settings, self.agent.table
        announcement = EndpointAnnouncement(
            endpoint=table.endpoint,
            incarnation=table.incarnation,
            sequence=self.sequence,
            vm=settings.vm,
            availability_zone=settings.availability_zone,
            address=settings.peer_listen,
            services=settings.services,
            slots=settings.slots,
            honours_fencing=settings.honours_fencing,
            group=settings.group,
            rank=settings.rank,
            draining=table.draining,
        )
        return Announce(endpoints=(announcement,))

    def refresh_metrics(self, metrics: Metrics) -> None:
        """Set the gauges to the current values."""
        metrics.in_flight.set({}, len(self.agent.executions))
        metrics.revision.set({}, self.view.revision)

    def why_not_ready(self) -> str:
        """Return why entries cannot use this endpoint now; empty when they can."""
        if self.agent.table.draining:
            return "stopping"
        return "" if self.client.link is not None else "no relay is reached"

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve health, metrics and events as an ASGI application."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        head = read_head(scope)
        try:
            if head.path not in PATHS:
                raise ProblemError(Problem(404, ProblemCode.NOT_FOUND, f"no {head.path} here"))
            await self.process.answer(head, send)
        except ProblemError as error:
            await send_problem(send, error.problem)

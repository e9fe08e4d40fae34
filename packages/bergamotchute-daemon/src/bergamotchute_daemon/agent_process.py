"""An agent: its parts once wired, how they run and how they stop."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from bergamotchute_daemon._asgi import Receive, Scope, Send, parse_request_head, send_problem
from bergamotchute_daemon.agent import Agent
from bergamotchute_daemon.control_client import ControlClient
from bergamotchute_daemon.entry_app import handle_lifespan
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.metrics import Metrics
from bergamotchute_daemon.process_app import PROCESS_PATHS, ProcessApp
from bergamotchute_daemon.settings import AgentSettings
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model.control_messages import Announce
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_model.problem import Problem, ProblemCode, ProblemError

DRAIN_NOTICE_S = 1.0
"""How long a stopping agent still answers entries that haven't heard of it."""


@dataclass
class AgentProcess:
    """One agent.

    :param control_client: the way to the relays.
    """

    settings: AgentSettings
    log: EventLog
    view: ViewHolder
    agent: Agent
    control_client: ControlClient
    process: ProcessApp
    sequence: int = 0

    async def run(self) -> None:
        """Run all parts until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.control_client.run)
            tasks.start_soon(self.agent.run_load_reports)
            tasks.start_soon(self.agent.run_silence_checks)

    async def drain(self) -> bool:
        """Tell entries and relays, refuse what still comes, and wait for what runs.

        :returns: whether all ended in time.
        """
        self.agent.attempt_table.draining = True
        await self.control_client.announce_now()
        ended = await self.agent.drain(self.settings.drain_bound_s)
        await anyio.sleep(DRAIN_NOTICE_S)
        return ended

    def announce(self) -> Announce:
        """Return what to tell the relay."""
        self.sequence += 1
        settings, table = self.settings, self.agent.attempt_table
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
        """Set the gauges as things stand."""
        metrics.in_flight.set({}, len(self.agent.running_attempts))
        metrics.revision.set({}, self.view.revision)

    def unready_reason(self) -> str:
        """Return why entries can't use this endpoint now; empty when they can."""
        if self.agent.attempt_table.draining:
            return "stopping"
        return "" if self.control_client.link is not None else "no relay is reached"

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve health, metrics and events as an ASGI application."""
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
            return
        head = parse_request_head(scope)
        try:
            if head.path not in PROCESS_PATHS:
                raise ProblemError(Problem(404, ProblemCode.NOT_FOUND, f"no {head.path} here"))
            await self.process.answer(head, send)
        except ProblemError as error:
            await send_problem(send, error.problem)

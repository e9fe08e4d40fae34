"""What operators are told of the state of things, and why."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict, dataclass
from typing import Any

import anyio

from bergamotchute_daemon._asgi import HttpRequestHead
from bergamotchute_daemon.address_book import AddressBook
from bergamotchute_daemon.caller_filters import bad_request
from bergamotchute_daemon.configuration_holder import ConfigurationHolder
from bergamotchute_daemon.control_client import ControlClient
from bergamotchute_daemon.endpoint_directory import EndpointDirectory
from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.scheduling_controller import SchedulingController
from bergamotchute_daemon.team_limiter import TeamLimiter
from bergamotchute_model.configuration import Configuration
from bergamotchute_model.membership import EndpointAnnouncement
from bergamotchute_model.status_messages import Reach

EXPLAINED_EVENTS = 200


@dataclass(frozen=True)
class OperatorReports:
    """Makes the reports of one entry from what it holds, and from what its relay gathers."""

    entry: str
    client: ControlClient
    holder: ConfigurationHolder
    directory: EndpointDirectory
    scheduling_controller: SchedulingController
    team_limiter: TeamLimiter
    addresses: AddressBook
    log: EventLog

    async def status(self, head: HttpRequestHead) -> dict[str, Any]:
        """Return the state of the deployment as this entry knows it."""
        view = self.client.view
        report = await self.client.ask_status(view.revision)
        files = sorted(view.files.values(), key=lambda file: file.name)
        document: dict[str, Any] = {
            "entry": self.entry,
            "revision": view.revision,
            "view_confirmed": view.is_confirmed(anyio.current_time()),
            "files": [
                {"file": file.name, "number": file.number, "revision": file.revision}
                for file in files
            ],
            "services": self._services(),
            "entries": self._entries(),
            "endpoints": self._endpoints(),
        }
        if report is not None and report.control is not None:
            document["control"] = asdict(report.control)
        if report is not None and report.reach is not None:
            document["reach"] = _reach(report.reach)
        return document

    async def explain(self, head: HttpRequestHead) -> dict[str, Any]:
        """Return the reasons behind a request, an endpoint or a team."""
        explainers = {
            "request": self._explain_request,
            "endpoint": self._explain_endpoint,
            "team": self._explain_team,
        }
        asked = [name for name in explainers if head.query.get(name)]
        if len(asked) != 1:
            raise bad_request("give one of request, endpoint or team")
        name = asked[0]
        subject = head.query[name]
        return {"subject": f"{name} {subject}", "lines": list(explainers[name](subject))}

    def _services(self) -> list[dict[str, Any]]:
        announcements = list(self.directory.announcements.values())
        rows: list[dict[str, Any]] = []
        for service in self.holder.configuration.services:
            members = [one for one in announcements if service.name in one.services]
            rows.append(
                {
                    "service": service.name,
                    "endpoints": len(members),
                    "draining": sum(self._is_draining(one) for one in members),
                    "slots": sum(one.slots for one in members),
                }
            )
        return rows

    def _entries(self) -> list[dict[str, Any]]:
        """Return the entries near this one; at a large size there are more."""
        known = self.addresses.known.get(self.addresses.get_own_announcement().availability_zone)
        return [
            {
                "entry": one.entry,
                "address": str(one.address),
                "availability_zone": one.availability_zone,
                "draining": self._configuration.is_draining(
                    one.entry, one.vm, one.availability_zone
                ),
            }
            for one in sorted(known.entries if known else (), key=lambda one: one.entry)
        ]

    def _endpoints(self) -> list[dict[str, Any]]:
        return [
            {
                "endpoint": one.endpoint,
                "vm": one.vm,
                "availability_zone": one.availability_zone,
                "services": list(one.services),
                "draining": self._is_draining(one),
                "linked": self._is_linked(one),
            }
            for one in sorted(self.directory.announcements.values(), key=lambda o: o.endpoint)
        ]

    @property
    def _configuration(self) -> Configuration:
        return self.holder.configuration

    def _is_draining(self, one: EndpointAnnouncement) -> bool:
        by_file = self._configuration.is_draining(one.endpoint, one.vm, one.availability_zone)
        return one.draining or by_file

    def _is_linked(self, one: EndpointAnnouncement) -> bool:
        connector = self.directory.find_connector(one.endpoint, one.incarnation)
        return connector is not None and connector.link is not None

    def _explain_request(self, request_id: str) -> Iterator[str]:
        events = [one for one in self.log.recent_records if one.request_id == request_id]
        for event in events[-EXPLAINED_EVENTS:]:
            fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
            yield f"{event.stamp} {event.event} {event.endpoint} {fields}".strip()
        if not events:
            yield "no recent event here; ask the entry that its id begins with, or the time line"

    def _explain_endpoint(self, endpoint: str) -> Iterator[str]:
        one = self.directory.announcements.get(endpoint)
        if one is None:
            yield "no announcement in force: it never came, or its lease lapsed"
            return
        yield f"on {one.vm} in {one.availability_zone}, {one.slots} slots, life {one.incarnation}"
        yield f"serves {', '.join(one.services)}"
        if one.draining:
            yield "draining: by its agent's own word"
        if self._configuration.is_draining(one.endpoint, one.vm, one.availability_zone):
            yield "draining: by a file in force"
        if not self._is_linked(one):
            yield "no link from this entry: takes nothing from here"
        yield from self._explain_records(endpoint)

    def _explain_records(self, endpoint: str) -> Iterator[str]:
        now = anyio.current_time()
        for service, scheduler in sorted(self.scheduling_controller.schedulers.items()):
            record = scheduler.endpoint_tracker.records.get(endpoint)
            if record is None:
                continue
            yield (
                f"{service}: {len(record.in_flight)} from here, {record.other_attempts} from others, "
                f"{record.long_in_flight} long, {record.consecutive_failures} failures in a row"
            )
            if record.ejected_until > now:
                yield f"{service}: set aside for {record.ejected_until - now:.1f} s"

    def _explain_team(self, name: str) -> Iterator[str]:
        team = self._configuration.team_by_name.get(name)
        if team is None:
            yield "no such team in the files in force"
            return
        use = self.team_limiter.usage_by_team.get(name)
        yield f"weight {team.weight:g}, level {self._configuration.level(team)}"
        yield f"{team.requests_per_second:g} requests a second over {self.team_limiter.entry_count()} entries"
        running = use.running if use else 0
        yield f"{running} in flight here, {team.max_concurrent} allowed over all entries"
        waiting = sum(
            1 for waiter in self.scheduling_controller.waiters.values() if waiter.work.team == name
        )
        yield f"{waiting} waiting here"


def _reach(reach: Reach) -> dict[str, Any]:
    return {
        "revision": reach.revision,
        "holders": reach.holders,
        "behind": list(reach.behind),
        "behind_count": reach.behind_count,
        "relays": reach.relays,
    }

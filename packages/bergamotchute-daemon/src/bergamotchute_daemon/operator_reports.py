"""Reports for operators on the state of the deployment and the reasons behind it."""

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
from bergamotchute_model.status_messages import ViewPropagation

MAX_EXPLAINED_EVENTS = 200


@dataclass(frozen=True)
class OperatorReports:
    """Makes the reports of an entry from its own state and the status that its relay collects."""

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
            document["reach"] = _reach_document(report.reach)
        return document

    async def explain(self, head: HttpRequestHead) -> dict[str, Any]:
        """Explain the state of a request, an endpoint or a team."""
        explainers = {
            "request": self._explain_request,
            "endpoint": self._explain_endpoint,
            "team": self._explain_team,
        }
        subjects = [name for name in explainers if head.query.get(name)]
        if len(subjects) != 1:
            raise bad_request("name exactly one query parameter: request, endpoint or team")
        name = subjects[0]
        subject = head.query[name]
        return {"subject": f"{name} {subject}", "lines": list(explainers[name](subject))}

    def _services(self) -> list[dict[str, Any]]:
        announcements = list(self.directory.announcements.values())
        rows: list[dict[str, Any]] = []
        for service in self.holder.configuration.services:
            members = [member for member in announcements if service.name in member.services]
            rows.append(
                {
                    "service": service.name,
                    "endpoints": len(members),
                    "draining": sum(self._is_draining(member) for member in members),
                    "slots": sum(member.slots for member in members),
                }
            )
        return rows

    def _entries(self) -> list[dict[str, Any]]:
        """Return the entries of this zone in the address book; a large deployment has more."""
        known = self.addresses.known.get(self.addresses.get_own_announcement().availability_zone)
        return [
            {
                "entry": entry.entry,
                "address": str(entry.address),
                "availability_zone": entry.availability_zone,
                "draining": self._configuration.is_draining(
                    entry.entry, entry.vm, entry.availability_zone
                ),
            }
            for entry in sorted(known.entries if known else (), key=lambda entry: entry.entry)
        ]

    def _endpoints(self) -> list[dict[str, Any]]:
        return [
            {
                "endpoint": announcement.endpoint,
                "vm": announcement.vm,
                "availability_zone": announcement.availability_zone,
                "services": list(announcement.services),
                "draining": self._is_draining(announcement),
                "linked": self._is_linked(announcement),
            }
            for announcement in sorted(
                self.directory.announcements.values(),
                key=lambda announcement: announcement.endpoint,
            )
        ]

    @property
    def _configuration(self) -> Configuration:
        return self.holder.configuration

    def _is_draining(self, announcement: EndpointAnnouncement) -> bool:
        is_draining_by_file = self._configuration.is_draining(
            announcement.endpoint, announcement.vm, announcement.availability_zone
        )
        return announcement.draining or is_draining_by_file

    def _is_linked(self, announcement: EndpointAnnouncement) -> bool:
        connector = self.directory.find_connector(announcement.endpoint, announcement.incarnation)
        return connector is not None and connector.link is not None

    def _explain_request(self, request_id: str) -> Iterator[str]:
        events = [recent for recent in self.log.recent_records if recent.request_id == request_id]
        for event in events[-MAX_EXPLAINED_EVENTS:]:
            fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
            yield f"{event.stamp} {event.event} {event.endpoint} {fields}".strip()
        if not events:
            yield (
                "no recent event at this entry; "
                "ask the entry that the request id starts with, or read the time line"
            )

    def _explain_endpoint(self, endpoint: str) -> Iterator[str]:
        announcement = self.directory.announcements.get(endpoint)
        if announcement is None:
            yield "no announcement in force: none has arrived, or its lease has expired"
            return
        yield (
            f"on {announcement.vm} in {announcement.availability_zone}, "
            f"{announcement.slots} slots, incarnation {announcement.incarnation}"
        )
        yield f"serves {', '.join(announcement.services)}"
        if announcement.draining:
            yield "draining: announced by its agent"
        if self._configuration.is_draining(
            announcement.endpoint, announcement.vm, announcement.availability_zone
        ):
            yield "draining: set by a file in force"
        if not self._is_linked(announcement):
            yield "no link from this entry: receives no requests from here"
        yield from self._explain_records(endpoint)

    def _explain_records(self, endpoint: str) -> Iterator[str]:
        now = anyio.current_time()
        for service, scheduler in sorted(self.scheduling_controller.schedulers.items()):
            record = scheduler.endpoint_tracker.records.get(endpoint)
            if record is None:
                continue
            yield (
                f"{service}: {len(record.in_flight)} attempts from this entry, "
                f"{record.other_attempts} from others, "
                f"{record.long_in_flight} long, {record.consecutive_failures} consecutive failures"
            )
            if record.ejected_until > now:
                yield f"{service}: ejected for another {record.ejected_until - now:.1f} s"

    def _explain_team(self, name: str) -> Iterator[str]:
        team = self._configuration.team_by_name.get(name)
        if team is None:
            yield "no team of this name in the files in force"
            return
        team_use = self.team_limiter.usage_by_team.get(name)
        yield f"weight {team.weight:g}, level {self._configuration.level(team)}"
        yield f"{team.requests_per_second:g} requests a second over {self.team_limiter.entry_count()} entries"
        running = team_use.running if team_use else 0
        yield f"{running} in flight at this entry, {team.max_concurrent} allowed over all entries"
        waiting = sum(
            1 for waiter in self.scheduling_controller.waiters.values() if waiter.work.team == name
        )
        yield f"{waiting} waiting at this entry"


def _reach_document(reach: ViewPropagation) -> dict[str, Any]:
    return {
        "revision": reach.revision,
        "holders": reach.holders,
        "behind": list(reach.behind),
        "behind_count": reach.behind_count,
        "relays": reach.relays,
    }

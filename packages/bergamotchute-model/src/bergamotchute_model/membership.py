"""Membership announcements of processes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from bergamotchute_model.identifiers import Address


class ProcessRole(StrEnum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"
    VOTER = "voter"
    RELAY = "relay"


@dataclass(frozen=True)
class EndpointAnnouncement:
    """An agent's announcement of its endpoint; repeated to keep the membership lease.

    :param endpoint: name of the endpoint, unique in the deployment.
    :param incarnation: identifies the run of the agent; new at each start.
    :param sequence: increases with each announcement of one incarnation.
    :param vm: the VM that the endpoint runs on.
    :param address: address at which entries connect to the agent.
    :param services: names of the services that the endpoint can serve.
    :param slots: count of requests that the engine can run concurrently.
    :param honours_fencing: whether the engine itself rejects outdated fencing numbers.
    :param group: the rank group that the endpoint belongs to; empty if none.
    :param rank: rank of the endpoint in its group; -1 if none.
    :param draining: whether the endpoint accepts no new work.
    """

    endpoint: str
    incarnation: str
    sequence: int
    vm: str
    availability_zone: str
    address: Address
    services: tuple[str, ...]
    slots: int
    honours_fencing: bool = False
    group: str = ""
    rank: int = -1
    draining: bool = False


@dataclass(frozen=True)
class EntryAnnouncement:
    """An entry's announcement of itself; callers are sent to entries on this basis.

    :param epoch: identifies the run of the entry; new at each start.
    :param address: address at which callers connect to the entry.
    :param spare: free capacity as a ratio of its total capacity, from 0 to 1.
    :param draining: whether the entry accepts no new callers.
    """

    entry: str
    epoch: str
    sequence: int
    vm: str
    availability_zone: str
    address: Address
    spare: float
    draining: bool = False

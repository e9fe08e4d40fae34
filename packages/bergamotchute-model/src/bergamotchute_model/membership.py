"""What processes announce of themselves."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from bergamotchute_model.identifiers import Address


class Role(StrEnum):
    """What a process does."""

    ENTRY = "entry"
    AGENT = "agent"
    VOTER = "voter"
    RELAY = "relay"


@dataclass(frozen=True)
class EndpointAnnouncement:
    """An agent's word about its endpoint, renewed while its lease is wanted.

    :param endpoint: the name, unique over the deployment.
    :param incarnation: fresh at each start of the agent.
    :param sequence: grows with each announcement of one incarnation.
    :param vm: the VM it runs on.
    :param address: where entries reach the agent.
    :param services: the services it can serve.
    :param slots: requests that the engine runs side by side.
    :param honours_fencing: whether the engine itself refuses an old fencing number.
    :param group: the rank group it belongs to; empty for none.
    :param rank: its rank in the group; -1 for none.
    :param draining: it takes no new work.
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
    """An entry's word about itself, from which address answers are made.

    :param epoch: fresh at each start of the entry.
    :param address: where callers reach it.
    :param spare: share of its capacity that is free, from 0 to 1.
    :param draining: it takes no new callers.
    """

    entry: str
    epoch: str
    sequence: int
    vm: str
    availability_zone: str
    address: Address
    spare: float
    draining: bool = False

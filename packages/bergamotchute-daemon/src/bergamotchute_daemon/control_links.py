"""Links from an entry or agent to its parents, the control VMs that it follows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.event_loop_monitor import EventLoopMonitor
from bergamotchute_daemon.link_set import LinkSet, MessageHandler
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import ControlGroup, NodeMessage, SubscribeToLoads
from bergamotchute_model.rate_limits import RequestPermit
from bergamotchute_policy.control_parents import (
    ParentHealth,
    choose_parents,
    few_parents,
    order_parents,
)

LINK_OPENING_TIMEOUT_S = 1.0
"""How long a link may take to open before another control VM is tried; dials take milliseconds."""

FIRST_LINK_OPENING_TIMEOUT_S = 2.0
"""How long the first link may take to open. When hundreds of processes start together, dials to
the few seeds take this long, and each process that tries another seed too delays the others."""

GROUP_SETTLING_S = 2.0
"""How long the reported members must stay the same before the control group counts as complete.
A new group adds one member a second, and until then all followers would link to its first ones."""

LEADER_EXPECTED_S = 2.5
"""How long after a link has opened its control VM may know no leader before it is doubted. After a
restart of all control VMs none knows one, and links to more of them would delay the election."""

PARENT_CHECK_INTERVAL_S = 0.2
"""How often the choice of parents is reconsidered."""


@dataclass
class ControlLinks:
    """Keeps links to a few control VMs, chosen from the seeds, then from the members these report.

    :param name: the name of this process.
    :param seeds: the control VMs to link to first, from the settings; may be replaced at run time.
    :param links: the links, whose messages pass through this object.
    :param on_message: called with each message of a control VM.
    :param parent_count: returns how many parents to have in a control group of a given size.
    :param wants_loads: whether to receive the loads of endpoints from one control VM.
    :param control_groups: the latest report of the group from each linked control VM.
    :param heard_since: when each linked control VM first reported its group, on the runtime's clock.
    :param known: the members that the linked control VMs reported last.
    :param known_changed_at: when ``known`` last changed, on the runtime's clock in seconds.
    :param settled: whether ``known`` stayed the same for :data:`GROUP_SETTLING_S` once.
    :param loads_source: the control VM that sends the loads.
    :param logged_sound: the linked control VMs that knew a leader when they were last logged.
    """

    name: str
    seeds: tuple[Address, ...]
    links: LinkSet
    on_message: MessageHandler
    parent_count: Callable[[int], int] = few_parents
    wants_loads: bool = False
    control_groups: dict[Address, ControlGroup] = field(default_factory=dict)
    heard_since: dict[Address, float] = field(default_factory=dict)
    known: frozenset[Address] = frozenset()
    known_changed_at: float = 0.0
    settled: bool = False
    loads_source: Address | None = None
    logged_sound: frozenset[Address] = frozenset()

    def __post_init__(self) -> None:
        self.loop_monitor = EventLoopMonitor(self.links.log)
        self.links.on_message = self._on_message
        self.links.on_closed = self._on_closed

    @property
    def linked(self) -> frozenset[Address]:
        """The control VMs to which a link is open."""
        return frozenset(self.links.outboxes)

    async def run(self) -> None:
        """Keep the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.links.run)
            while True:
                self._update_links()
                await self.loop_monitor.sleep(PARENT_CHECK_INTERVAL_S)

    @property
    def sound_parents(self) -> list[Address]:
        """The linked control VMs that know a leader."""
        return [address for address, group in self.control_groups.items() if group.current]

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seeds, as after a change of the settings."""
        self.seeds = seeds

    def post(self, address: Address, message: NodeMessage) -> None:
        """Send a message to one control VM, if it is linked."""
        self.links.post(address, message)

    def post_all(self, message: NodeMessage) -> None:
        """Send a message to every linked control VM."""
        self.links.post_all(message)

    def post_to_one(self, message: NodeMessage) -> None:
        """Send a message to one linked control VM, preferably a healthy one."""
        address = next(iter([*self.sound_parents, *self.links.outboxes]), None)
        if address is not None:
            self.links.post(address, message)

    def post_to_all_that(
        self, accepts: Callable[[ControlGroup], bool], message: NodeMessage
    ) -> None:
        """Send a message to each linked control VM that announced that it reads it."""
        for address, group in self.control_groups.items():
            if accepts(group):
                self.links.post(address, message)

    def post_permit_request(self, request: RequestPermit) -> bool:
        """Request a permit at a linked control VM that knows a leader; return whether one does."""
        for address, group in self.control_groups.items():
            if group.current and group.accepts_rate_limits:
                self.links.post(address, request)
                return True
        return False

    def _update_links(self) -> None:
        order = order_parents(self.name, self.known or self.seeds)
        if self.known and not self.control_groups:
            # All known members may be gone for good.
            order += [seed for seed in order_parents(self.name, self.seeds) if seed not in order]
        now = anyio.current_time()
        opening_timeout_s = self._opening_timeout_s(now)
        self.settled = self.settled or (
            bool(self.known) and now - self.known_changed_at >= GROUP_SETTLING_S
        )
        count = self.parent_count(len(self.known)) if self.settled else 1
        chosen = choose_parents(
            order, lambda parent: self._parent_health(parent, now, opening_timeout_s), count
        )
        self.links.set_wanted_peers([*chosen, *self._retained_parents(chosen, count)])
        self._choose_loads_source()
        self._log_parents()

    def _opening_timeout_s(self, now: float) -> float:
        """Return how long a link may take to open: longer for the first one, as long as it opens."""
        is_first = not self.links.outboxes and all(
            now - since < FIRST_LINK_OPENING_TIMEOUT_S
            for since in self.links.unlinked_since.values()
        )
        return FIRST_LINK_OPENING_TIMEOUT_S if is_first else LINK_OPENING_TIMEOUT_S

    def _log_parents(self) -> None:
        sound = frozenset(self.sound_parents)
        if sound == self.logged_sound:
            return
        self.logged_sound = sound
        self.links.log.emit(
            events.PARENTS_CHANGED,
            sound=",".join(str(address) for address in sorted(sound)),
            linked=len(self.links.outboxes),
            known=len(self.known),
        )

    def _retained_parents(self, chosen: list[Address], count: int) -> list[Address]:
        """Return the parents to keep until enough of the chosen ones are healthy.

        These are the healthy ones. Where none is, as before the first leader after a restart of the
        control group, any that is linked is better than one that still has to be reached.
        """
        usable = self.sound_parents or list(self.control_groups)
        missing = count - sum(address in chosen for address in usable)
        return [address for address in usable if address not in chosen][: max(0, missing)]

    def _parent_health(
        self, address: Address, now: float, opening_timeout_s: float
    ) -> ParentHealth:
        group = self.control_groups.get(address)
        if group is not None and group.current:
            return ParentHealth.SOUND
        if group is not None:
            is_new = now - self.heard_since[address] < LEADER_EXPECTED_S
            return ParentHealth.OPENING if is_new else ParentHealth.DOUBTFUL
        opening_since = self.links.unlinked_since.get(address, now)
        return (
            ParentHealth.OPENING
            if now - opening_since < opening_timeout_s
            else ParentHealth.UNREACHABLE
        )

    def _choose_loads_source(self) -> None:
        """Ask one healthy control VM for loads; choose another when its link is lost."""
        if not self.wants_loads or self.loads_source in self.control_groups:
            return
        self.loads_source = next(iter(self.sound_parents), None)
        if self.loads_source is not None:
            self.links.post(self.loads_source, SubscribeToLoads())

    def _on_message(self, address: Address, message: NodeMessage) -> None:
        if isinstance(message, ControlGroup):
            self.control_groups[address] = message
            self.heard_since.setdefault(address, anyio.current_time())
            members = frozenset(
                member for group in self.control_groups.values() for member in group.addresses
            )
            if members and members != self.known:
                self.known = members
                self.known_changed_at = anyio.current_time()
        self.on_message(address, message)

    def _on_closed(self, address: Address) -> None:
        self.control_groups.pop(address, None)
        self.heard_since.pop(address, None)
        if address == self.loads_source:
            self.loads_source = None

"""Links from an entry or agent to the control VMs that it follows."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.link_set import LinkSet, MessageHandler
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import ControlGroup, FollowLoads, NodeMessage
from bergamotchute_policy.control_parents import (
    PARENT_COUNT,
    ParentHealth,
    choose_parents,
    order_parents,
)

OPENING_S = 1.0
"""How long a link may take to open before another control VM stands in; a dial takes milliseconds."""

FIRST_OPENING_S = 2.0
"""The same for the first link. Hundreds of processes that start together wait this long at the few
seeds, and each that tries the next seed too makes the others wait longer."""

SETTLED_S = 2.0
"""A group of control VMs that has named the same members for so long is complete: one that founds
itself takes in a member a second, and until then all followers would crowd on the first ones."""

LOOK_S = 0.2
"""How often the choice of parents is looked at."""


@dataclass
class ControlLinks:
    """Keeps links to a few control VMs: seeds at first, then of all that these name.

    :param name: the follower's own.
    :param seeds: where to begin, from the settings; may be replaced under way.
    :param links: the links; its messages come through here.
    :param on_message: takes what a control VM says.
    :param wants_loads: whether one of them shall tell the loads of endpoints.
    :param control_groups: what each linked control VM said last of the group.
    :param known: the newest members that any of them named.
    :param known_at: when these last changed, on the runtime's clock.
    :param settled: whether they stayed the same for :data:`SETTLED_S` once.
    :param loads_source: which one tells the loads.
    """

    name: str
    seeds: tuple[Address, ...]
    links: LinkSet
    on_message: MessageHandler
    wants_loads: bool = False
    control_groups: dict[Address, ControlGroup] = field(default_factory=dict)
    known: frozenset[Address] = frozenset()
    known_at: float = 0.0
    settled: bool = False
    loads_source: Address | None = None

    def __post_init__(self) -> None:
        self.links.on_message = self._on_message
        self.links.on_closed = self._on_closed

    @property
    def linked(self) -> frozenset[Address]:
        """The control VMs that a link is open to."""
        return frozenset(self.links.outboxes)

    async def run(self) -> None:
        """Keep the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.links.run)
            while True:
                self._look()
                await anyio.sleep(LOOK_S)

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take other seeds, as after a change of the settings."""
        self.seeds = seeds

    def post(self, address: Address, message: NodeMessage) -> None:
        """Send a message to one control VM, if it is linked."""
        self.links.post(address, message)

    def post_all(self, message: NodeMessage) -> None:
        """Send a message to every linked control VM."""
        self.links.post_all(message)

    def post_to_one(self, message: NodeMessage) -> None:
        """Send a message to one linked control VM, a sound one if there is any."""
        address = self._first_sound()
        if address is None:
            address = next(iter(self.links.outboxes), None)
        if address is not None:
            self.links.post(address, message)

    def _look(self) -> None:
        order = order_parents(self.name, self.known or self.seeds)
        if self.known and not self.control_groups:
            # All members that were known may be gone for good.
            order += [seed for seed in order_parents(self.name, self.seeds) if seed not in order]
        opening_s = OPENING_S if self.links.outboxes else FIRST_OPENING_S
        now = anyio.current_time()
        self.settled = self.settled or (bool(self.known) and now - self.known_at >= SETTLED_S)
        count = PARENT_COUNT if self.settled else 1
        chosen = choose_parents(order, lambda each: self._health(each, now, opening_s), count)
        self.links.set_wanted_peers([*chosen, *self._kept(chosen, count)])
        self._choose_loads_source()

    def _kept(self, chosen: list[Address], count: int) -> list[Address]:
        """Return sound parents that are kept until enough of the chosen ones are sound."""
        sound = [address for address, group in self.control_groups.items() if group.current]
        missing = count - sum(address in chosen for address in sound)
        return [address for address in sound if address not in chosen][: max(0, missing)]

    def _health(self, address: Address, now: float, opening_s: float) -> ParentHealth:
        group = self.control_groups.get(address)
        if group is not None:
            return ParentHealth.SOUND if group.current else ParentHealth.DOUBTFUL
        since = self.links.unlinked_since.get(address, now)
        return ParentHealth.OPENING if now - since < opening_s else ParentHealth.DOUBTFUL

    def _choose_loads_source(self) -> None:
        """Have one sound control VM tell loads, another once that one is lost."""
        if not self.wants_loads or self.loads_source in self.control_groups:
            return
        self.loads_source = self._first_sound()
        if self.loads_source is not None:
            self.links.post(self.loads_source, FollowLoads())

    def _first_sound(self) -> Address | None:
        sound = (address for address, group in self.control_groups.items() if group.current)
        return next(sound, None)

    def _on_message(self, address: Address, message: NodeMessage) -> None:
        if isinstance(message, ControlGroup):
            self.control_groups[address] = message
            named = frozenset(
                each for group in self.control_groups.values() for each in group.addresses
            )
            if named and named != self.known:
                self.known = named
                self.known_at = anyio.current_time()
        self.on_message(address, message)

    def _on_closed(self, address: Address) -> None:
        self.control_groups.pop(address, None)
        if address == self.loads_source:
            self.loads_source = None

"""Announcements of an endpoint's earlier process that another relay reports late."""

from __future__ import annotations

from dataclasses import replace

from bergamotchute_daemon.membership_table import MEMBER_LEASE_S, MembershipTable
from bergamotchute_model.control_messages import Announce, MembershipDelta
from bergamotchute_model.identifiers import Address
from bergamotchute_model.membership import EndpointAnnouncement


def announced(incarnation: str, sequence: int) -> EndpointAnnouncement:
    address = Address("10.1.0.1", 7)
    return EndpointAnnouncement("e", incarnation, sequence, "vm", "north", address, ("s",), 4)


def incarnation_of(table: MembershipTable) -> str | None:
    member = table.members.get("e")
    return getattr(member.announcement, "incarnation", None) if member is not None else None


def test_a_late_report_of_a_peer_takes_the_place_of_no_live_endpoint() -> None:
    """The relay has just started, so it never heard of the endpoint's earlier process itself."""
    table = MembershipTable()
    table.on_announce(Announce(endpoints=(announced("second", 1),)), 0.0)
    late = MembershipDelta(endpoints=(announced("first", 40),), complete=True)
    table.on_peer_membership("peer", late)
    table.on_announce(Announce(endpoints=(announced("second", 2),)), 1.0)
    table.on_peer_membership("peer", MembershipDelta(lapsed_endpoints=("e",)))
    for second in range(2, 30):
        table.on_announce(Announce(endpoints=(announced("second", 1 + second),)), float(second))
        table.drop_lapsed_members(float(second))
    assert incarnation_of(table) == "second"


def test_an_endpoint_stays_replaced_while_its_peer_relay_holds_to_the_report() -> None:
    """The peer relay has learnt of the later process itself and takes nothing back."""
    table = MembershipTable()
    table.on_announce(Announce(endpoints=(announced("second", 1),)), 0.0)
    table.on_peer_membership("peer", MembershipDelta(endpoints=(announced("first", 40),)))
    for second in range(1, 10):
        table.on_announce(Announce(endpoints=(announced("second", 1 + second),)), float(second))
        table.drop_lapsed_members(float(second))
    assert incarnation_of(table) == "second"
    table.on_peer_membership("peer", MembershipDelta(endpoints=(announced("first", 41),)))
    assert incarnation_of(table) == "second"


def test_late_announcements_of_an_ended_process_replace_its_successor() -> None:
    table = MembershipTable()
    table.on_announce(Announce(endpoints=(announced("first", 1),)), 0.0)
    table.on_peer_membership("peer", MembershipDelta(endpoints=(announced("second", 1),)))
    for number in range(40):
        late = 1.0 + number * MEMBER_LEASE_S / 40
        table.on_announce(Announce(endpoints=(announced("first", 2 + number),)), late)
    assert incarnation_of(table) == "second"


def test_a_draining_process_replaces_its_successor() -> None:
    table = MembershipTable()
    table.on_announce(Announce(endpoints=(announced("first", 1),)), 0.0)
    table.on_peer_membership("peer", MembershipDelta(endpoints=(announced("second", 1),)))
    for second in range(1, 20):
        draining = replace(announced("first", 1 + second), draining=True)
        table.on_announce(Announce(endpoints=(draining,)), float(second))
    assert incarnation_of(table) == "second"


def test_two_processes_that_announce_themselves_here_alternate() -> None:
    table = MembershipTable()
    for second in range(20):
        for incarnation in ("first", "second"):
            announce = Announce(endpoints=(announced(incarnation, second),))
            table.on_announce(announce, float(second))
    assert incarnation_of(table) == "second"

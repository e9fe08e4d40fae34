"""Batches of loads that a control VM passes on."""

from __future__ import annotations

from bergamotchute_daemon.changed_loads import ChangedLoads
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import LoadsReported

A, B = Address("10.0.0.1", 9000), Address("10.0.0.2", 9000)


def test_loads_of_peers_go_to_entries_alone() -> None:
    """Guards against loads that control VMs send each other in circles."""
    loads = ChangedLoads()
    loads.add(LoadsReported(((A, 1),), ((A, 2.0),)), is_from_peer=True)
    loads.add(LoadsReported(((B, 4),), ()), is_from_peer=False)
    assert loads.take() == (
        LoadsReported(((B, 4),), ()),
        LoadsReported(((A, 1), (B, 4)), ((A, 2.0),)),
    )
    assert loads.take() == (None, None)


def test_own_followers_take_precedence_and_the_newest_report_counts() -> None:
    """Guards against an old load that replaces a newer one."""
    loads = ChangedLoads()
    loads.add(LoadsReported(((A, 1),), ((A, 2.0),)), is_from_peer=False)
    loads.add(LoadsReported(((A, 3),), ()), is_from_peer=False)
    loads.add(LoadsReported(((A, 9),), ()), is_from_peer=True)
    assert loads.take() == (
        LoadsReported(((A, 3),), ((A, 2.0),)),
        LoadsReported(((A, 3),), ((A, 2.0),)),
    )


def test_a_message_that_all_get_is_one_object() -> None:
    """Guards against encoding the same loads for peers and for entries."""
    loads = ChangedLoads()
    loads.add(LoadsReported(((A, 1),), ()), is_from_peer=False)
    for_peers, for_entries = loads.take()
    assert for_peers is not None
    assert for_peers is for_entries

"""Checks across operator files: references, duplicates and totals that a schema can't express."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

from bergamotchute_model.file_fault import FileFault, ValuePath
from bergamotchute_model.operator_file import (
    Drain,
    ModelTarget,
    OperatorFile,
    PlannedChange,
    PriorityClass,
    RankGroup,
    Service,
    ServiceKind,
    Team,
    Voter,
)
from bergamotchute_model.parsed_file import ParsedFile

ALLOWED_VOTER_COUNTS = (0, 1, 3, 5, 7)

FileCheck = Callable[[Sequence[ParsedFile]], Iterator[FileFault]]
_Location = tuple[ParsedFile, ValuePath]
Item = TypeVar("Item")


def check_duplicates(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """Check that no name, token, model, address or limit is defined twice."""
    yield from _duplicate_faults(
        (location, item.name) for location, item in _located_services(files)
    )
    yield from _duplicate_faults((location, item.name) for location, item in _located_teams(files))
    yield from _duplicate_faults(
        (location, item.name) for location, item in _located_priorities(files)
    )
    yield from _duplicate_faults(
        (location, item.name) for location, item in _located_planned_changes(files)
    )
    yield from _duplicate_faults(
        (location, item.name) for location, item in _located_rank_groups(files)
    )
    yield from _duplicate_faults(
        (location, (item.service, item.endpoint))
        for location, item in _located_model_targets(files)
    )
    yield from _duplicate_faults(
        (_nested_location(location, "token_sha256"), item.token_sha256)
        for location, item in _located_teams(files)
    )
    yield from _duplicate_faults(
        (_nested_location(location, "model"), item.model)
        for location, item in _located_services(files)
        if item.model
    )
    yield from _duplicate_faults(
        (_nested_location(location, "replica"), item.replica)
        for location, item in _located_voters(files)
    )
    yield from _duplicate_faults(
        (_nested_location(location, "address"), item.address)
        for location, item in _located_voters(files)
    )
    yield from _duplicate_faults(((f, ("limits",)), "limits") for f in files if f.content.limits)
    yield from _duplicate_faults(((f, ("file",)), f.content.file) for f in files)


def check_services(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """Check that only model services name a model, and that default deadlines are in range."""
    for location, service in _located_services(files):
        if (service.kind is ServiceKind.MODEL) != bool(service.model):
            allowed = f"a model name if kind is {ServiceKind.MODEL.value}, otherwise none"
            yield _fault_at(_nested_location(location, "model"), repr(service.model), allowed)
        if service.deadline_s > service.max_deadline_s:
            allowed = f"at most max_deadline_s ({service.max_deadline_s})"
            yield _fault_at(
                _nested_location(location, "deadline_s"), str(service.deadline_s), allowed
            )


def check_references(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """Check that every service and priority class that a file refers to is defined in some file."""
    services = {service.name: service for _, service in _located_services(files)}
    models = [name for name, item in services.items() if item.kind is ServiceKind.MODEL]
    priorities = [priority.name for _, priority in _located_priorities(files)]
    for location, team in _located_teams(files):
        for index, name in enumerate(team.services):
            yield from _undefined_name_faults(
                _nested_location(location, "services", index), name, services, "a service"
            )
        if team.priority:
            yield from _undefined_name_faults(
                _nested_location(location, "priority"),
                team.priority,
                priorities,
                "a priority class",
            )
    for location, target in _located_model_targets(files):
        yield from _undefined_name_faults(
            _nested_location(location, "service"), target.service, models, "a model service"
        )
    for location, change in _located_planned_changes(files):
        if change.load:
            where = _nested_location(location, "load", "service")
            yield from _undefined_name_faults(where, change.load.service, models, "a model service")
    for location, group in _located_rank_groups(files):
        yield from _undefined_name_faults(
            _nested_location(location, "service"), group.service, models, "a model service"
        )


def check_exclusive_keys(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """Check that exactly one of several mutually exclusive keys is given."""
    for location, drain in _located_drains(files):
        yield from _drain_target_faults(location, drain)
    for location, change in _located_planned_changes(files):
        if (change.drain is None) == (change.load is None):
            found = "both or neither of drain and load"
            yield _fault_at(location, found, "exactly one of drain, load")
        if change.drain:
            yield from _drain_target_faults(_nested_location(location, "drain"), change.drain)


def check_rank_groups(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """Check that each rank group has at least one slot for every expert of a layer."""
    for location, group in _located_rank_groups(files):
        slots = group.ranks * group.slots_per_rank
        if slots < group.experts:
            found = f"{slots} slots per layer for {group.experts} experts"
            yield _fault_at(
                _nested_location(location, "slots_per_rank"), found, "at least one slot per expert"
            )


def check_voters(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """Check that the number of voters is allowed: none, or odd and at most 7."""
    holders = [file for file in files if file.content.voters]
    count = sum(len(file.content.voters) for file in holders)
    if count not in ALLOWED_VOTER_COUNTS:
        yield holders[0].create_fault(
            ("voters",), f"{count} voters", "1, 3, 5 or 7 in all files together"
        )


FILE_CHECKS: tuple[FileCheck, ...] = (
    check_duplicates,
    check_services,
    check_references,
    check_exclusive_keys,
    check_rank_groups,
    check_voters,
)


def _drain_target_faults(location: _Location, drain: Drain) -> Iterator[FileFault]:
    """Yield a fault unless the drain names exactly one target."""
    target_count = sum(
        target is not None for target in (drain.endpoint, drain.vm, drain.availability_zone)
    )
    if target_count != 1:
        yield _fault_at(
            location, f"{target_count} targets", "exactly one of endpoint, vm, availability_zone"
        )


def _duplicate_faults(items: Iterable[tuple[_Location, object]]) -> Iterator[FileFault]:
    """Yield a fault for each value that repeats an earlier one."""
    first_location_by_value: dict[object, _Location] = {}
    for location, value in items:
        if value in first_location_by_value:
            file, path = first_location_by_value[value]
            line = file.create_fault(path, "", "").position.line
            yield _fault_at(
                location,
                f"duplicate {value!r}",
                f"one definition; first defined at {file.source}:{line}",
            )
        else:
            first_location_by_value[value] = location


def _undefined_name_faults(
    location: _Location, name: str, names: Iterable[str], description: str
) -> Iterator[FileFault]:
    """Yield a fault when ``name`` is not among the defined ``names``.

    :param description: the kind of object that is expected, such as ``a service``.
    """
    known = sorted(names)
    if name not in known:
        shown_names = ", ".join(known[:10]) + (", …" if len(known) > 10 else "")
        yield _fault_at(
            location,
            repr(name),
            f"{description} that a file defines: {shown_names or 'none is defined'}",
        )


def _fault_at(location: _Location, found: str, allowed: str) -> FileFault:
    """Return a fault at ``location``."""
    file, path = location
    return file.create_fault(path, found, allowed)


def _nested_location(location: _Location, *inner_path: str | int) -> _Location:
    """Return the location of a value nested in ``location``."""
    file, path = location
    return file, (*path, *inner_path)


def _located_items(
    files: Sequence[ParsedFile], section: str, select: Callable[[OperatorFile], Sequence[Item]]
) -> Iterator[tuple[_Location, Item]]:
    """Yield every item of a section in all files, with its location."""
    for file in files:
        for index, item in enumerate(select(file.content)):
            yield (file, (section, index)), item


def _located_services(files: Sequence[ParsedFile]) -> Iterator[tuple[_Location, Service]]:
    """Yield every service with its location."""
    return _located_items(files, "services", lambda content: content.services)


def _located_priorities(files: Sequence[ParsedFile]) -> Iterator[tuple[_Location, PriorityClass]]:
    """Yield every priority class with its location."""
    return _located_items(files, "priorities", lambda content: content.priorities)


def _located_teams(files: Sequence[ParsedFile]) -> Iterator[tuple[_Location, Team]]:
    """Yield every team with its location."""
    return _located_items(files, "teams", lambda content: content.teams)


def _located_drains(files: Sequence[ParsedFile]) -> Iterator[tuple[_Location, Drain]]:
    """Yield every drain with its location."""
    return _located_items(files, "drains", lambda content: content.drains)


def _located_planned_changes(
    files: Sequence[ParsedFile],
) -> Iterator[tuple[_Location, PlannedChange]]:
    """Yield every planned change with its location."""
    return _located_items(files, "planned_changes", lambda content: content.planned_changes)


def _located_model_targets(files: Sequence[ParsedFile]) -> Iterator[tuple[_Location, ModelTarget]]:
    """Yield every model target with its location."""
    return _located_items(files, "models", lambda content: content.models)


def _located_rank_groups(files: Sequence[ParsedFile]) -> Iterator[tuple[_Location, RankGroup]]:
    """Yield every rank group with its location."""
    return _located_items(files, "rank_groups", lambda content: content.rank_groups)


def _located_voters(files: Sequence[ParsedFile]) -> Iterator[tuple[_Location, Voter]]:
    """Yield every voter with its location."""
    return _located_items(files, "voters", lambda content: content.voters)

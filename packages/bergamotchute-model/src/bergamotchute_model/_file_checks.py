"""Checks over all files together: references, duplicates and sums that a schema can't state."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

from bergamotchute_model.file_fault import FileFault, Path
from bergamotchute_model.operator_file import (
    Drain,
    ModelTarget,
    OperatorFile,
    PlannedChange,
    Priority,
    RankGroup,
    Service,
    ServiceKind,
    Team,
    Voter,
)
from bergamotchute_model.parsed_file import ParsedFile

VOTER_COUNTS = (0, 1, 3, 5, 7)

Check = Callable[[Sequence[ParsedFile]], Iterator[FileFault]]
_Place = tuple[ParsedFile, Path]
Item = TypeVar("Item")


def check_duplicates(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """Each name, token, model, address and limit is given once."""
    yield from _once((place, item.name) for place, item in _services(files))
    yield from _once((place, item.name) for place, item in _teams(files))
    yield from _once((place, item.name) for place, item in _priorities(files))
    yield from _once((place, item.name) for place, item in _changes(files))
    yield from _once((place, item.name) for place, item in _groups(files))
    yield from _once((place, (item.service, item.endpoint)) for place, item in _targets(files))
    yield from _once(
        (_within(place, "token_sha256"), item.token_sha256) for place, item in _teams(files)
    )
    yield from _once(
        (_within(place, "model"), item.model) for place, item in _services(files) if item.model
    )
    yield from _once((_within(place, "replica"), item.replica) for place, item in _voters(files))
    yield from _once((_within(place, "address"), item.address) for place, item in _voters(files))
    yield from _once(((f, ("limits",)), "limits") for f in files if f.content.limits)
    yield from _once(((f, ("file",)), f.content.file) for f in files)


def check_services(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """A service has a model exactly when it is of that kind, and sane deadlines."""
    for place, service in _services(files):
        if (service.kind is ServiceKind.MODEL) != bool(service.model):
            allowed = f"a model with kind {ServiceKind.MODEL.value}, none otherwise"
            yield _fault(_within(place, "model"), repr(service.model), allowed)
        if service.deadline_s > service.max_deadline_s:
            allowed = f"at most max_deadline_s, {service.max_deadline_s}"
            yield _fault(_within(place, "deadline_s"), str(service.deadline_s), allowed)


def check_references(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """Whatever a file names exists in some file."""
    services = {service.name: service for _, service in _services(files)}
    models = [name for name, item in services.items() if item.kind is ServiceKind.MODEL]
    priorities = [priority.name for _, priority in _priorities(files)]
    for place, team in _teams(files):
        for index, name in enumerate(team.services):
            yield from _known(_within(place, "services", index), name, services, "a service")
        if team.priority:
            yield from _known(
                _within(place, "priority"), team.priority, priorities, "a priority class"
            )
    for place, target in _targets(files):
        yield from _known(_within(place, "service"), target.service, models, "a model service")
    for place, change in _changes(files):
        if change.load:
            where = _within(place, "load", "service")
            yield from _known(where, change.load.service, models, "a model service")
    for place, group in _groups(files):
        yield from _known(_within(place, "service"), group.service, models, "a model service")


def check_choices(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """Where one of several keys is wanted, exactly one is given."""
    for place, drain in _drains(files):
        yield from _drain_fault(place, drain)
    for place, change in _changes(files):
        if (change.drain is None) == (change.load is None):
            found = "both or neither of drain and load"
            yield _fault(place, found, "exactly one of drain, load")
        if change.drain:
            yield from _drain_fault(_within(place, "drain"), change.drain)


def check_groups(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """A rank group has a slot for every expert."""
    for place, group in _groups(files):
        slots = group.ranks * group.slots_per_rank
        if slots < group.experts:
            found = f"{slots} slots a layer for {group.experts} experts"
            yield _fault(_within(place, "slots_per_rank"), found, "a slot for each expert")


def check_voters(files: Sequence[ParsedFile]) -> Iterator[FileFault]:
    """The number of voters is odd and small."""
    holders = [file for file in files if file.content.voters]
    count = sum(len(file.content.voters) for file in holders)
    if count not in VOTER_COUNTS:
        yield holders[0].fault(("voters",), f"{count} voters", "1, 3, 5 or 7 over all files")


CHECKS: tuple[Check, ...] = (
    check_duplicates,
    check_services,
    check_references,
    check_choices,
    check_groups,
    check_voters,
)


def _drain_fault(place: _Place, drain: Drain) -> Iterator[FileFault]:
    """Yield a fault unless exactly one target is given."""
    given = sum(part is not None for part in (drain.endpoint, drain.vm, drain.availability_zone))
    if given != 1:
        yield _fault(place, f"{given} targets", "exactly one of endpoint, vm, availability_zone")


def _once(items: Iterable[tuple[_Place, object]]) -> Iterator[FileFault]:
    """Yield a fault for each value that came before."""
    first: dict[object, _Place] = {}
    for place, value in items:
        if value in first:
            file, path = first[value]
            line = file.fault(path, "", "").mark.line
            yield _fault(place, f"{value!r} again", f"once; see {file.source}:{line}")
        else:
            first[value] = place


def _known(place: _Place, name: str, names: Iterable[str], what: str) -> Iterator[FileFault]:
    """Yield a fault when ``name`` is not among ``names``."""
    known = sorted(names)
    if name not in known:
        listed = ", ".join(known[:10]) + (", …" if len(known) > 10 else "")
        yield _fault(place, repr(name), f"{what} that a file defines: {listed or 'none is'}")


def _fault(place: _Place, found: str, allowed: str) -> FileFault:
    """Return a fault at a place."""
    file, path = place
    return file.fault(path, found, allowed)


def _within(place: _Place, *more: str | int) -> _Place:
    """Return a place inside another."""
    file, path = place
    return file, (*path, *more)


def _items(
    files: Sequence[ParsedFile], section: str, select: Callable[[OperatorFile], Sequence[Item]]
) -> Iterator[tuple[_Place, Item]]:
    """Yield every item of a section over all files, with its place."""
    for file in files:
        for index, item in enumerate(select(file.content)):
            yield (file, (section, index)), item


def _services(files: Sequence[ParsedFile]) -> Iterator[tuple[_Place, Service]]:
    """Yield every service."""
    return _items(files, "services", lambda content: content.services)


def _priorities(files: Sequence[ParsedFile]) -> Iterator[tuple[_Place, Priority]]:
    """Yield every priority class."""
    return _items(files, "priorities", lambda content: content.priorities)


def _teams(files: Sequence[ParsedFile]) -> Iterator[tuple[_Place, Team]]:
    """Yield every team."""
    return _items(files, "teams", lambda content: content.teams)


def _drains(files: Sequence[ParsedFile]) -> Iterator[tuple[_Place, Drain]]:
    """Yield every drain."""
    return _items(files, "drains", lambda content: content.drains)


def _changes(files: Sequence[ParsedFile]) -> Iterator[tuple[_Place, PlannedChange]]:
    """Yield every planned change."""
    return _items(files, "planned_changes", lambda content: content.planned_changes)


def _targets(files: Sequence[ParsedFile]) -> Iterator[tuple[_Place, ModelTarget]]:
    """Yield every model target."""
    return _items(files, "models", lambda content: content.models)


def _groups(files: Sequence[ParsedFile]) -> Iterator[tuple[_Place, RankGroup]]:
    """Yield every rank group."""
    return _items(files, "rank_groups", lambda content: content.rank_groups)


def _voters(files: Sequence[ParsedFile]) -> Iterator[tuple[_Place, Voter]]:
    """Yield every voter."""
    return _items(files, "voters", lambda content: content.voters)

"""The merged configuration of all operator files in force, with indexed look-ups."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import cached_property
from itertools import chain, islice
from typing import TypeVar

from result import Err, Ok, Result

from bergamotchute_model._file_checks import FILE_CHECKS
from bergamotchute_model.file_fault import MAX_FAULTS, Faults
from bergamotchute_model.operator_file import (
    Drain,
    EntryLimits,
    ModelTarget,
    PlannedChange,
    PriorityClass,
    RankGroup,
    Service,
    Team,
    Voter,
)
from bergamotchute_model.parsed_file import ParsedFile, parse_file
from bergamotchute_model.view import DecisionInForce, FileInForce

SectionItem = TypeVar("SectionItem")


@dataclass(frozen=True)
class Configuration:
    """The settings in force, joined from all operator files.

    :param file_numbers: name and number of each file in force.
    :param begun_changes: names of the planned changes that have begun.
    """

    file_numbers: tuple[tuple[str, int], ...] = ()
    services: tuple[Service, ...] = ()
    priorities: tuple[PriorityClass, ...] = ()
    teams: tuple[Team, ...] = ()
    drains: tuple[Drain, ...] = ()
    planned_changes: tuple[PlannedChange, ...] = ()
    models: tuple[ModelTarget, ...] = ()
    rank_groups: tuple[RankGroup, ...] = ()
    voters: tuple[Voter, ...] = ()
    limits: EntryLimits = EntryLimits()
    begun_changes: frozenset[str] = frozenset()

    @cached_property
    def service_by_name(self) -> dict[str, Service]:
        """Index of the services by name."""
        return {service.name: service for service in self.services}

    @cached_property
    def service_by_model(self) -> dict[str, Service]:
        """Index of the model services by the model name in requests."""
        return {service.model: service for service in self.services if service.model}

    @cached_property
    def team_by_name(self) -> dict[str, Team]:
        """Index of the teams by name."""
        return {team.name: team for team in self.teams}

    @cached_property
    def team_by_token_sha256(self) -> dict[str, Team]:
        """Index of the teams by the lower-case SHA-256 of their token."""
        return {team.token_sha256: team for team in self.teams}

    @cached_property
    def level_by_priority(self) -> dict[str, int]:
        """Priority levels by the name of the class; 0 is the most urgent."""
        return {priority.name: priority.level for priority in self.priorities}

    @cached_property
    def weight_by_team(self) -> dict[str, float]:
        """Fair-share weights by team name."""
        return {team.name: team.weight for team in self.teams}

    def level(self, team: Team) -> int:
        """Return the team's priority level; 0 is the most urgent."""
        return self.level_by_priority.get(team.priority, 0)

    def may_call(self, team: Team, service: Service) -> bool:
        """Tell whether a team may call a service."""
        return service.name in team.services

    def is_draining(self, endpoint: str, vm: str, availability_zone: str) -> bool:
        """Tell whether an endpoint or an entry is drained by the files or a begun planned change.

        :param endpoint: name of the endpoint or the entry.
        """
        return any(
            drain.matches(endpoint, vm, availability_zone) for drain in self._drains_in_force
        )

    def model_target(self, service: str, endpoint: str) -> ModelTarget | None:
        """Return the model that an endpoint's engine should have loaded for a service.

        A target for the endpoint takes precedence over one for the whole service. Planned changes
        that have begun replace the target for the same service and endpoint; the one with the
        latest time takes precedence.
        """
        targets = self._model_targets_in_force
        return targets.get((service, endpoint)) or targets.get((service, None))

    @cached_property
    def _begun_changes_by_time(self) -> list[PlannedChange]:
        """Planned changes that have begun, sorted by time."""
        begun = [change for change in self.planned_changes if change.name in self.begun_changes]
        return sorted(begun, key=lambda change: (change.at, change.name))

    @cached_property
    def _drains_in_force(self) -> tuple[Drain, ...]:
        """Drains from the files and from the planned changes that have begun."""
        return (
            *self.drains,
            *(change.drain for change in self._begun_changes_by_time if change.drain),
        )

    @cached_property
    def _model_targets_in_force(self) -> dict[tuple[str, str | None], ModelTarget]:
        """Targets by service and endpoint; planned changes that have begun override the files."""
        planned = (change.load for change in self._begun_changes_by_time if change.load)
        return {(item.service, item.endpoint): item for item in chain(self.models, planned)}


def merge_files(files: Sequence[ParsedFile]) -> Result[Configuration, Faults]:
    """Merge files in the order of their names and check them together.

    :returns: the configuration, or at most :data:`MAX_FAULTS` faults.
    """
    sorted_files = sorted(files, key=lambda file: file.content.file)
    found = chain.from_iterable(check(sorted_files) for check in FILE_CHECKS)
    faults = tuple(islice(found, MAX_FAULTS))
    return Err(faults) if faults else Ok(_join_files(sorted_files))


class ConfigurationReader:
    """Reads configurations from successive views; parses a file again only if it changed.

    The files of a view were checked together when they were accepted and are not checked again.

    :param parsed_files: digest and parsed file by name, as of the last view.
    """

    def __init__(self) -> None:
        self.parsed_files: dict[str, tuple[str, ParsedFile]] = {}

    def read(
        self, files: Iterable[FileInForce], decisions: Iterable[DecisionInForce] = ()
    ) -> Result[Configuration, Faults]:
        """Return the configuration of a view, including the planned changes that have begun."""
        for file in files:
            known = self.parsed_files.get(file.name)
            if known and known[0] == file.digest:
                continue
            read = parse_file(file.name, file.text)
            if isinstance(read, Err):
                return read
            self.parsed_files[file.name] = (file.digest, read.ok_value)
        sorted_files = [self.parsed_files[name][1] for name in sorted(self.parsed_files)]
        configuration = _join_files(sorted_files)
        decision_values = {
            decision.name: decision.value for decision in decisions if decision.version
        }
        return Ok(
            replace(
                configuration, begun_changes=_find_begun_changes(configuration, decision_values)
            )
        )


def _join_files(files: Sequence[ParsedFile]) -> Configuration:
    """Join the sections of all files into one configuration."""
    contents = [file.content for file in files]
    limits = next((content.limits for content in contents if content.limits), EntryLimits())
    return Configuration(
        file_numbers=tuple((content.file, content.number) for content in contents),
        services=_join_sections(content.services for content in contents),
        priorities=_join_sections(content.priorities for content in contents),
        teams=_join_sections(content.teams for content in contents),
        drains=_join_sections(content.drains for content in contents),
        planned_changes=_join_sections(content.planned_changes for content in contents),
        models=_join_sections(content.models for content in contents),
        rank_groups=_join_sections(content.rank_groups for content in contents),
        voters=_join_sections(content.voters for content in contents),
        limits=limits,
    )


def _find_begun_changes(
    configuration: Configuration, decision_values: Mapping[str, bytes]
) -> frozenset[str]:
    """Return the names of the planned changes whose start is recorded as a decision."""
    return frozenset(
        change.name
        for change in configuration.planned_changes
        if decision_values.get(change.decision_name) == change.decision_value
    )


def _join_sections(sections: Iterable[tuple[SectionItem, ...]]) -> tuple[SectionItem, ...]:
    """Concatenate one section of all files."""
    return tuple(chain.from_iterable(sections))

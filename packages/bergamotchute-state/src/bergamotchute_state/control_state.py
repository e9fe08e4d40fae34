"""The replicated state machine: files, claims, fences, decisions, configuration, departures."""

from __future__ import annotations

from typing import Any, assert_never

import cbor2

from bergamotchute_model.commands import (
    AnyCommand,
    ApplyFile,
    CommandResult,
    ConfigurationPut,
    DepartureRecorded,
    FenceGranted,
    IssueFence,
    LookUpClaim,
    PutConfiguration,
    RecordDecision,
    RecordDeparture,
    ReleaseClaim,
    SettleClaim,
    TakeClaim,
)
from bergamotchute_model.view import ViewChange
from bergamotchute_state.claim_store import ClaimStore
from bergamotchute_state.configuration_store import ConfigurationStore
from bergamotchute_state.decision_store import DecisionStore
from bergamotchute_state.departure_store import DepartureStore
from bergamotchute_state.fence_store import FenceStore
from bergamotchute_state.file_store import FileStore

_SNAPSHOT_FORMAT = "bergamotchute-state"
_SNAPSHOT_FORMAT_VERSION = 2


class SnapshotError(Exception):
    """A snapshot is damaged or has an unknown format."""


class ControlState:
    """The state that a quorum of voters has agreed on.

    Replicas that apply the same commands at the same revisions have the same state, return the
    same results and write the same snapshots: nothing depends on a clock, on random numbers or on
    the order of hashes.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.files = FileStore()
        self.claims = ClaimStore()
        self.fences = FenceStore()
        self.decisions = DecisionStore()
        self.configuration = ConfigurationStore()
        self.departures = DepartureStore()

    def apply(self, command: AnyCommand, revision: int) -> CommandResult:
        """Apply the committed command at log index ``revision``.

        :raises ValueError: if ``revision`` is not higher than the last applied revision.
        """
        if revision <= self.revision:
            raise ValueError(
                f"revision {revision} is not higher than the applied revision {self.revision}"
            )
        self.revision = revision
        match command:
            case ApplyFile():
                return self.files.on_apply_file(command, revision)
            case TakeClaim() | ReleaseClaim() | SettleClaim() | LookUpClaim():
                return self.claims.apply(command)
            case IssueFence():
                return self._on_next_fence(command, revision)
            case RecordDecision():
                newest_fence = self.fences.number(command.name)
                return self.decisions.on_record_decision(command, newest_fence, revision)
            case PutConfiguration():
                return self.configuration.on_put_configuration(command)
            case RecordDeparture():
                return self.departures.on_record_departure(command)
        assert_never(command)

    def known_result(self, command: AnyCommand) -> CommandResult | None:
        """Return the result of a command that would change nothing, as far as that is known.

        What a configuration or departure asks for stays true, so it need not be committed again.
        """
        match command:
            case PutConfiguration(version) if version <= self.configuration.version:
                return ConfigurationPut(False, self.configuration.version)
            case RecordDeparture(endpoint, born_ms) if self.departures.includes(endpoint, born_ms):
                return DepartureRecorded()
        return None

    @property
    def view_revision(self) -> int:
        """The revision of the newest change visible in a view; 0 when there is none."""
        file = next(reversed(self.files.in_force.values()), None)
        decision = next(reversed(self.decisions.in_force.values()), None)
        return max(file.revision if file else 0, decision.revision if decision else 0)

    def changes_since(self, revision: int) -> tuple[ViewChange, ...] | None:
        """Return the current value of each name that changed after ``revision``, oldest first.

        :return: ``None`` when ``revision`` was never applied here, so that only the whole view
            brings the reader up to date.
        """
        if not 0 <= revision <= self.revision:
            return None
        changes: list[ViewChange] = []
        for file in reversed(self.files.in_force.values()):
            if file.revision <= revision:
                break
            changes.append(file)
        for decision in reversed(self.decisions.in_force.values()):
            if decision.revision <= revision:
                break
            changes.append(decision)
        return tuple(sorted(changes, key=lambda change: change.revision))

    def whole_view(self) -> tuple[ViewChange, ...]:
        """Return every file and decision in force, ordered by last change."""
        return self.changes_since(0) or ()

    def snapshot(self) -> bytes:
        """Encode the state as canonical CBOR; equal states have equal bytes."""
        parts = [
            _SNAPSHOT_FORMAT,
            _SNAPSHOT_FORMAT_VERSION,
            self.revision,
            self.files.dump(),
            self.claims.dump(),
            self.fences.dump(),
            self.decisions.dump(),
            self.configuration.dump(),
            self.departures.dump(),
        ]
        return cbor2.dumps(parts, canonical=True)

    def restore(self, snapshot: bytes) -> None:
        """Replace the current state by a snapshot.

        :raises SnapshotError: if the snapshot can't be decoded; the state is unchanged then.
        """
        try:
            loaded_parts: Any = cbor2.loads(snapshot)
            name, version, revision, *sections = loaded_parts
            if (name, version) != (_SNAPSHOT_FORMAT, _SNAPSHOT_FORMAT_VERSION):
                raise SnapshotError(f"unknown snapshot format {name!r}, version {version!r}")
            files, claims, fences, decisions, configuration, departures = sections
            loaded = (
                FileStore.load(files),
                ClaimStore.load(claims),
                FenceStore.load(fences),
                DecisionStore.load(decisions),
                ConfigurationStore.load(configuration),
                DepartureStore.load(departures),
            )
        except (cbor2.CBORError, ValueError, TypeError, KeyError, AttributeError) as error:
            raise SnapshotError(f"snapshot can't be decoded: {error}") from error
        self.files, self.claims, self.fences, self.decisions = loaded[:4]
        self.configuration, self.departures = loaded[4:]
        self.revision = revision

    def _on_next_fence(self, command: IssueFence, revision: int) -> FenceGranted:
        """Grant a fencing number; publish it in the view if it is new."""
        previous_number = self.fences.number(command.scope)
        granted = self.fences.on_next_fence(command)
        if granted.number > previous_number:
            self.decisions.on_fence_granted(command.scope, granted.number, revision)
        return granted

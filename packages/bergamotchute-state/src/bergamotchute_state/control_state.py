"""The replicated state machine: files, claims, fences, decisions, configuration, departures."""

from __future__ import annotations

from typing import Any, assert_never

import cbor2

from bergamotchute_model.commands import (
    AnyCommand,
    ApplyFile,
    CommandResult,
    FenceGranted,
    LookUpClaim,
    NextFence,
    PutConfiguration,
    RecordDecision,
    RecordDeparture,
    ReleaseClaim,
    SettleClaim,
    TakeClaim,
)
from bergamotchute_model.view import ViewChange
from bergamotchute_state.claims import Claims
from bergamotchute_state.configuration_store import ConfigurationStore
from bergamotchute_state.decisions import Decisions
from bergamotchute_state.departures import Departures
from bergamotchute_state.fences import Fences
from bergamotchute_state.files import Files

_FORMAT = "bergamotchute-state"
_FORMAT_VERSION = 2


class SnapshotError(Exception):
    """A snapshot is damaged or of an unknown format."""


class ControlState:
    """What a quorum has agreed on.

    Replicas that apply the same commands at the same revisions hold the same state, give the same
    results and write the same snapshots: nothing depends on a clock, on chance or on hashing.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.files = Files()
        self.claims = Claims()
        self.fences = Fences()
        self.decisions = Decisions()
        self.configuration = ConfigurationStore()
        self.departures = Departures()

    def apply(self, command: AnyCommand, revision: int) -> CommandResult:
        """Apply the committed command of log index ``revision``.

        :raises ValueError: when ``revision`` does not come after the last applied one.
        """
        if revision <= self.revision:
            raise ValueError(f"revision {revision} does not come after {self.revision}")
        self.revision = revision
        match command:
            case ApplyFile():
                return self.files.on_apply_file(command, revision)
            case TakeClaim() | ReleaseClaim() | SettleClaim() | LookUpClaim():
                return self.claims.apply(command)
            case NextFence():
                return self._on_next_fence(command, revision)
            case RecordDecision():
                newest = self.fences.number(command.name)
                return self.decisions.on_record_decision(command, newest, revision)
            case PutConfiguration():
                return self.configuration.on_put_configuration(command)
            case RecordDeparture():
                return self.departures.on_record_departure(command)
        assert_never(command)

    @property
    def view_revision(self) -> int:
        """The revision of the newest change that a view shows; 0 when there is none."""
        file = next(reversed(self.files.in_force.values()), None)
        decision = next(reversed(self.decisions.in_force.values()), None)
        return max(file.revision if file else 0, decision.revision if decision else 0)

    def changes_since(self, revision: int) -> tuple[ViewChange, ...] | None:
        """Return what changed after ``revision``, each name as it stands now, oldest first.

        :returns: ``None`` when ``revision`` was never applied here; send the whole view then.
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
        """Return every file and decision in force, in the order of their last change."""
        return self.changes_since(0) or ()

    def snapshot(self) -> bytes:
        """Return the state as canonical CBOR; equal states give equal bytes."""
        parts = [
            _FORMAT,
            _FORMAT_VERSION,
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
        """Take over a snapshot in place of the present state.

        :raises SnapshotError: when it can't be read; the state stays as it was.
        """
        try:
            parts: Any = cbor2.loads(snapshot)
            name, version, revision, *sections = parts
            if (name, version) != (_FORMAT, _FORMAT_VERSION):
                raise SnapshotError(f"unknown snapshot format {name!r}, version {version!r}")
            files, claims, fences, decisions, configuration, departures = sections
            loaded = (
                Files.load(files),
                Claims.load(claims),
                Fences.load(fences),
                Decisions.load(decisions),
                ConfigurationStore.load(configuration),
                Departures.load(departures),
            )
        except (cbor2.CBORError, ValueError, TypeError, KeyError, AttributeError) as error:
            raise SnapshotError(f"the snapshot can't be read: {error}") from error
        self.files, self.claims, self.fences, self.decisions = loaded[:4]
        self.configuration, self.departures = loaded[4:]
        self.revision = revision

    def _on_next_fence(self, command: NextFence, revision: int) -> FenceGranted:
        """Hand out a fence and show it in the view when it is new."""
        before = self.fences.number(command.scope)
        granted = self.fences.on_next_fence(command)
        if granted.number > before:
            self.decisions.on_fence(command.scope, granted.number, revision)
        return granted

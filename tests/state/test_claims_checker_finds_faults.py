"""Check that the claims test detects implementations that break one rule each."""

from __future__ import annotations

from dataclasses import replace
from typing import ClassVar

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from bergamotchute_model.commands import (
    ClaimResult,
    ClaimState,
    ReleaseClaim,
    SettleClaim,
    TakeClaim,
)
from bergamotchute_state.claim_store import ClaimStore
from state.test_claims_run_at_most_once import ClaimsMachine


class ReplacesAnyReleased(ClaimStore):
    """Grants any new attempt after a release, whichever attempt it names to replace."""

    def on_take_claim(self, command: TakeClaim) -> ClaimResult:
        record = self._find_record(command.key)
        if record and record.state is ClaimState.RELEASED:
            return self._assign_attempt(command)
        return super().on_take_claim(command)


class ReplacesUnknown(ClaimStore):
    """Lets an attempt replace one that may have run."""

    def on_take_claim(self, command: TakeClaim) -> ClaimResult:
        record = self._find_record(command.key)
        if record and record.state is ClaimState.UNKNOWN and command.replaces == record.attempt:
            return self._assign_attempt(command)
        return super().on_take_claim(command)


class ReleasesUnknown(ClaimStore):
    """Releases a claim whose attempt may have run."""

    def on_release_claim(self, command: ReleaseClaim) -> ClaimResult:
        record = self._find_record(command.key)
        if record and record.state is ClaimState.UNKNOWN and record.attempt == command.attempt:
            released = self._finish_claim(replace(record, state=ClaimState.RELEASED, outcome=None))
            return ClaimResult(granted=True, record=released)
        return super().on_release_claim(command)


class SettlesForAnyAttempt(ClaimStore):
    """Accepts an outcome from an attempt that doesn't hold the claim."""

    def on_settle_claim(self, command: SettleClaim) -> ClaimResult:
        record = self._find_record(command.key)
        if record:
            command = replace(command, attempt=record.attempt)
        return super().on_settle_claim(command)


class IgnoresBodyDigest(ClaimStore):
    """Shows a claim to a request with another body."""

    def on_take_claim(self, command: TakeClaim) -> ClaimResult:
        record = self._find_record(command.key)
        if record:
            command = replace(command, body_digest=record.body_digest)
        return super().on_take_claim(command)


@pytest.mark.parametrize(
    "broken",
    [
        ReplacesAnyReleased,
        ReplacesUnknown,
        ReleasesUnknown,
        SettlesForAnyAttempt,
        IgnoresBodyDigest,
    ],
)
def test_a_broken_rule_is_found(broken: type[ClaimStore]) -> None:
    class BrokenMachine(ClaimsMachine):
        claims_class: ClassVar[type[ClaimStore]] = broken

    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            BrokenMachine,
            settings=settings(
                derandomize=True,
                max_examples=400,
                stateful_step_count=80,
                deadline=None,
                phases=[Phase.generate],
                report_multiple_bugs=False,
            ),
        )

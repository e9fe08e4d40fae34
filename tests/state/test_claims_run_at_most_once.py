"""Check that no order of claim commands lets two attempts run for one key."""

from __future__ import annotations

from typing import ClassVar

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bergamotchute_model.commands import (
    ClaimResult,
    ClaimState,
    Command,
    RecordedResponse,
    ReleaseClaim,
    SettleClaim,
    TakeClaim,
)
from bergamotchute_model.identifiers import AttemptId, ClaimKey
from bergamotchute_state.claim_store import ClaimStore
from bergamotchute_state.control_state import ControlState

KEYS = tuple(ClaimKey("team", "orders", name) for name in ("a", "b"))
BODIES = ("body-1", "body-2")
OUTCOMES = (RecordedResponse(201, (("x", "y"),), b"booked"), RecordedResponse(500, (), b"failed"))


class ClaimsMachine(RuleBasedStateMachine):
    """Sends new, late and repeated claim commands and compares the results with a model.

    The model records which attempts were granted a key and which of them were released. It uses
    only the results of commands, never the state itself.
    """

    claims_class: ClassVar[type[ClaimStore]] = ClaimStore

    @initialize()
    def start(self) -> None:
        self.state = ControlState()
        self.state.claims.__class__ = self.claims_class
        self.revision = 0
        self.sent: list[TakeClaim | ReleaseClaim | SettleClaim] = []
        self.attempts: list[AttemptId] = []
        self.granted: dict[ClaimKey, list[AttemptId]] = {key: [] for key in KEYS}
        self.released: dict[ClaimKey, list[AttemptId]] = {key: [] for key in KEYS}
        self.finished: dict[ClaimKey, ClaimState] = {}
        self.first_body: dict[ClaimKey, str] = {}

    @rule(key=st.sampled_from(KEYS), body=st.sampled_from(BODIES), pick=st.integers(0, 4))
    def take(self, key: ClaimKey, body: str, pick: int) -> None:
        number = len(self.attempts) + 1
        attempt = AttemptId(f"r{number}", number, "press-1", "i", "e")
        earlier = [*self.attempts, None, *self.granted[key]]
        self.attempts.append(attempt)
        self.send(TakeClaim(key, body, attempt, earlier[-1 - pick % len(earlier)]))

    @rule(key=st.sampled_from(KEYS), pick=st.integers(0, 4))
    def release(self, key: ClaimKey, pick: int) -> None:
        if self.attempts:
            self.send(ReleaseClaim(key, self.pick_attempt(key, pick)))

    @rule(
        key=st.sampled_from(KEYS),
        pick=st.integers(0, 4),
        outcome=st.sampled_from((None, *OUTCOMES)),
    )
    def settle(self, key: ClaimKey, pick: int, outcome: RecordedResponse | None) -> None:
        if self.attempts:
            self.send(SettleClaim(key, self.pick_attempt(key, pick), outcome))

    @rule(pick=st.integers(0, 30))
    def send_again(self, pick: int) -> None:
        if self.sent:
            self.send(self.sent[-1 - pick % len(self.sent)])

    @rule()
    def restart_from_snapshot(self) -> None:
        snapshot = self.state.snapshot()
        self.state = ControlState()
        self.state.restore(snapshot)
        self.state.claims.__class__ = self.claims_class
        assert self.state.snapshot() == snapshot

    @invariant()
    def at_most_one_attempt_may_run(self) -> None:
        for key in KEYS:
            possibly_running = set(self.granted[key]) - set(self.released[key])
            assert len(possibly_running) <= 1

    def pick_attempt(self, key: ClaimKey, pick: int) -> AttemptId:
        """Return the holder of the key for a ``pick`` of 0, an earlier or other attempt above."""
        candidates = [*self.attempts, *self.granted[key]]
        return candidates[-1 - pick % len(candidates)]

    def send(self, command: TakeClaim | ReleaseClaim | SettleClaim) -> None:
        self.sent.append(command)
        self.revision += 1
        result = self.state.apply(command, self.revision)
        assert isinstance(result, ClaimResult)
        self.check(command, result)

    def check(self, command: Command, result: ClaimResult) -> None:
        match command:
            case TakeClaim():
                self.check_take(command, result)
            case ReleaseClaim() if result.granted:
                assert command.attempt in self.granted[command.key]
                assert command.key not in self.finished
                self.released[command.key].append(command.attempt)
            case SettleClaim() if result.granted:
                assert command.attempt in self.granted[command.key]
                assert command.attempt not in self.released[command.key]
                self.check_settle(command, result)

    def check_take(self, command: TakeClaim, result: ClaimResult) -> None:
        key = command.key
        body = self.first_body.setdefault(key, command.body_digest) if result.granted else None
        if body is None and self.granted[key]:
            has_other_body = command.body_digest != self.first_body[key]
            assert result.reused == has_other_body
            assert (result.record is None) == has_other_body
        if not result.granted:
            return
        assert body == command.body_digest
        assert key not in self.finished
        assert command.attempt not in self.released[key]
        if command.attempt not in self.granted[key]:
            last = self.granted[key][-1] if self.granted[key] else None
            assert command.replaces == last
            self.granted[key].append(command.attempt)

    def check_settle(self, command: SettleClaim, result: ClaimResult) -> None:
        before = self.finished.get(command.key)
        after = ClaimState.UNKNOWN if command.outcome is None else ClaimState.SETTLED
        assert (before, after) != (ClaimState.SETTLED, ClaimState.UNKNOWN)
        assert result.record is not None
        assert (result.record.state, result.record.outcome) == (after, command.outcome)
        self.finished[command.key] = after


ClaimsMachine.TestCase.settings = settings(
    derandomize=True, max_examples=120, stateful_step_count=40, deadline=None
)
TestClaims = ClaimsMachine.TestCase

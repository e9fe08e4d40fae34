"""Each promise's checker catches the product once that promise is broken in it."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from tools.proof.run import run_scenario
from tools.proof.scenario_parser import parse_scenario

from bergamotchute_daemon import _asgi
from bergamotchute_daemon import agent as agent_module
from bergamotchute_daemon.agent_process import AgentProcess
from bergamotchute_daemon.answer_buffer import AnswerBuffer
from bergamotchute_daemon.scheduling_controller import SchedulingController
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model.commands import ClaimRecord, ClaimResult, ClaimState, TakeClaim
from bergamotchute_state.claim_store import ClaimStore

HEAD = """scenario "a mutant's ground"
entries 3 voters 1
runners 2 for drafts slots 4 speed 20
runners 1 for orders plain work 2s
"""

Break = Callable[[pytest.MonkeyPatch], None]


def grant_every_claim(patch: pytest.MonkeyPatch) -> None:
    """Let every sending of a key run."""

    def take(_self: ClaimStore, command: TakeClaim) -> ClaimResult:
        record = ClaimRecord(command.key, command.body_digest, ClaimState.ASSIGNED, command.attempt)
        return ClaimResult(granted=True, record=record)

    patch.setattr(ClaimStore, "on_take_claim", take)


def say_not_run_always(patch: pytest.MonkeyPatch) -> None:
    """Tell of every failure that the request did not run."""
    true_document = _asgi.problem_document
    patch.setattr(_asgi, "problem_document", lambda p: true_document(p) | {"verdict": "not_run"})


def resume_from_the_start(patch: pytest.MonkeyPatch) -> None:
    """Forget, when a stream goes on elsewhere, what its caller has."""
    patch.setattr(agent_module, "_body", lambda message: message.body)


def ignore_drains(patch: pytest.MonkeyPatch) -> None:
    """Go on choosing drained endpoints."""
    patch.setattr(SchedulingController, "on_drains", lambda *_: None)


def stop_at_once(patch: pytest.MonkeyPatch) -> None:
    """Let an agent's planned stop wait for nothing."""

    async def drain(_self: AgentProcess) -> bool:
        return True

    patch.setattr(AgentProcess, "drain", drain)


def trust_any_view(patch: pytest.MonkeyPatch) -> None:
    """Use a view without a lease."""
    patch.setattr(ViewHolder, "is_confirmed", lambda self, _now: self.revision > 0)


def forget_to_fail(patch: pytest.MonkeyPatch) -> None:
    """Never tell a caller of a failure."""
    patch.setattr(AnswerBuffer, "fail", lambda *_: None)


MUTANTS: list[tuple[str, Break, str]] = [
    (
        "at_most_once",
        grant_every_claim,
        "at 0s order o through entry-1\nat 4s order o through entry-2\n",
    ),
    (
        "not_run_is_true",
        say_not_run_always,
        "at 0s order o through entry-1 within 8s\nat 1s crash orders-1\n",
    ),
    (
        "whole_own_answer",
        resume_from_the_start,
        "at 0s draft d of 40 tokens\nat 1s crash drafts-1\nat 1s draft e of 40 tokens\n"
        "at 2s crash drafts-2\nat 1500ms restart drafts-1\n",
    ),
    (
        "leaving_gets_no_work",
        ignore_drains,
        "at 0s drain drafts-1\nfrom 6s to 7s every 100ms draft d of 2 tokens\n",
    ),
    (
        "planned_stop_cuts_nothing",
        stop_at_once,
        "from 0s to 1s every 200ms draft d of 60 tokens\nat 2s stop drafts-1\n",
    ),
    (
        "change_stays_in_force",
        trust_any_view,
        "at 0s partition entry-3 for 40s\nat 1s change teams\nat 30s check c through entry-1\n",
    ),
    (
        "every_call_ends",
        forget_to_fail,
        "at 0s crash orders-1\nat 8s check c within 5s\n",
    ),
]


@pytest.mark.parametrize(("promise", "break_it", "steps"), MUTANTS)
def test_mutant_is_caught(
    promise: str, break_it: Break, steps: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    scenario = parse_scenario(HEAD + steps)
    break_it(monkeypatch)
    assert promise in {violation.promise for violation in run_scenario(scenario, 1).violations}


@pytest.mark.parametrize(("promise", "break_it", "steps"), MUTANTS)
def test_the_product_passes_where_its_mutant_does_not(
    promise: str, break_it: Break, steps: str
) -> None:
    assert run_scenario(parse_scenario(HEAD + steps), 1).violations == []

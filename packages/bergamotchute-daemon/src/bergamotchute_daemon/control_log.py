"""Commands and confirmed reads for other parts of a process that runs a voter."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from bergamotchute_consensus.messages import RequestPurpose
from bergamotchute_daemon._voter_state import COMMAND_CODEC, RESULT_CODEC
from bergamotchute_daemon.voter import Voter
from bergamotchute_model.commands import Command, CommandResult

ATTEMPT_TIMEOUT_S = 0.35
"""How long to wait for one attempt; a request forwarded to a leader that died gets no answer."""

RETRY_DELAY_S = 0.04
"""Delay before the next attempt, for instance while no leader is known."""


class ControlUnavailable(Exception):
    """The control log could not be reached in time; a command may still be committed.

    :param attempts: how often the request was sent to the leader.
    :param leader: the leader known at the end; empty if none was.
    """

    def __init__(self, detail: str, attempts: int, leader: str) -> None:
        super().__init__(detail)
        self.attempts = attempts
        self.leader = leader


@dataclass(frozen=True)
class Answer:
    """The answer to a request to the control log.

    :param result: the encoded result of a command; empty for a read.
    :param attempts: how often the request was sent to the leader.
    """

    result: bytes
    attempts: int


@dataclass(frozen=True)
class CommittedCommand:
    """A committed command's result.

    :param attempts: how often the command was sent to the leader.
    """

    result: CommandResult
    attempts: int


@dataclass
class ControlLog:
    """Proposes commands to the control log, and confirms that the local state is up to date.

    A command is sent again until its timeout, so only idempotent commands may be committed.
    """

    voter: Voter

    async def commit(self, command: Command, timeout_s: float) -> CommittedCommand:
        """Commit an idempotent command and return its result.

        :param timeout_s: how long to try, in seconds.
        :raises ControlUnavailable: when no attempt was answered in time.
        """
        encoded = COMMAND_CODEC.encode(command)
        answer = await self._request_until_answered(RequestPurpose.COMMAND, encoded, timeout_s)
        return CommittedCommand(RESULT_CODEC.decode(answer.result), answer.attempts)

    async def confirm(self, timeout_s: float) -> None:
        """Return once this voter's state holds everything that was committed before the call.

        :param timeout_s: how long to try, in seconds.
        :raises ControlUnavailable: when no quorum confirmed the state in time.
        """
        await self._request_until_answered(RequestPurpose.READ, b"", timeout_s)

    async def _request_until_answered(
        self, purpose: RequestPurpose, command: bytes, timeout_s: float
    ) -> Answer:
        attempts = 0
        with anyio.move_on_after(timeout_s):
            while True:
                attempts += 1
                with anyio.move_on_after(ATTEMPT_TIMEOUT_S):
                    result = await self._request_once(purpose, command)
                    if result is not None:
                        return Answer(result, attempts)
                await anyio.sleep(RETRY_DELAY_S)
        raise ControlUnavailable(
            f"no quorum of the control group answered within {timeout_s} s",
            attempts,
            self.voter.leader_address,
        )

    async def _request_once(self, purpose: RequestPurpose, command: bytes) -> bytes | None:
        """Send a request once; return ``None`` when it was refused."""
        answered = anyio.Event()
        answers: list[bytes] = []

        def succeed(_: int, result: bytes) -> None:
            answers.append(result)
            answered.set()

        fail: Callable[..., None] = lambda *_: answered.set()  # noqa: E731
        self.voter.submit_request(purpose, command, succeed, fail)
        await answered.wait()
        return answers[0] if answers else None

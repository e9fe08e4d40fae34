"""Commands and confirmed reads for parts of the process that hosts a voter."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from bergamotchute_consensus.messages import RequestPurpose
from bergamotchute_daemon._voter_state import COMMAND_CODEC, RESULT_CODEC
from bergamotchute_daemon.voter import Voter
from bergamotchute_model.commands import Command, CommandResult

TRY_S = 0.35
"""Wait for one try; a request passed on to a leader that died gets no answer."""

PAUSE_S = 0.04
"""Wait before another try while no leader is known."""


class ControlUnavailable(Exception):
    """The log could not be reached in time; a command may still be committed."""


@dataclass
class ControlLog:
    """Proposes commands to the log, and confirms that the state here is as new as any.

    A command is tried again until its time is up, so only repeatable commands may be committed.
    """

    voter: Voter

    async def commit(self, command: Command, timeout_s: float) -> CommandResult:
        """Commit a repeatable command and return its result.

        :param timeout_s: in seconds.
        :raises ControlUnavailable: when no try was answered in time.
        """
        encoded = COMMAND_CODEC.encode(command)
        result = await self._ask(RequestPurpose.COMMAND, encoded, timeout_s)
        return RESULT_CODEC.decode(result)

    async def confirm(self, timeout_s: float) -> None:
        """Return once the state of this voter holds all that was committed before the call.

        :param timeout_s: in seconds.
        :raises ControlUnavailable: when no quorum confirmed it in time.
        """
        await self._ask(RequestPurpose.READ, b"", timeout_s)

    async def _ask(self, purpose: RequestPurpose, command: bytes, timeout_s: float) -> bytes:
        with anyio.move_on_after(timeout_s):
            while True:
                with anyio.move_on_after(TRY_S):
                    answer = await self._try(purpose, command)
                    if answer is not None:
                        return answer
                await anyio.sleep(PAUSE_S)
        raise ControlUnavailable(f"no quorum answered within {timeout_s} s")

    async def _try(self, purpose: RequestPurpose, command: bytes) -> bytes | None:
        """Ask once; ``None`` when the request was refused."""
        answered = anyio.Event()
        answers: list[bytes] = []

        def succeed(_: int, result: bytes) -> None:
            answers.append(result)
            answered.set()

        fail: Callable[..., None] = lambda *_: answered.set()  # noqa: E731
        self.voter.ask(purpose, command, succeed, fail)
        await answered.wait()
        return answers[0] if answers else None

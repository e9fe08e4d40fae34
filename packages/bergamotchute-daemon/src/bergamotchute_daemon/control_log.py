"""Commands and confirmed reads for other parts of a process that runs a voter."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio

from bergamotchute_consensus.messages import RequestPurpose
from bergamotchute_daemon._voter_state import COMMAND_CODEC, RESULT_CODEC
from bergamotchute_daemon.voter import Voter
from bergamotchute_model.commands import AnyCommand, CommandResult

ATTEMPT_TIMEOUT_S = 0.35
"""How long to wait for one attempt; a request forwarded to a leader that died gets no answer."""

MIN_LINK_BYTES_PER_S = 400_000
"""Transfer rate allowed for before a command is sent again; a large one takes longer to arrive."""

RETRY_DELAY_S = 0.04
"""Delay before the next attempt, for instance while no leader is known."""


class ControlUnavailable(Exception):
    """The control log could not be reached in time; a command may still be committed.

    :param attempts: how often the request was tried, also while no leader was known.
    :param leader: the leader known at the end; empty if none was.
    """

    def __init__(self, detail: str, attempts: int, leader: str) -> None:
        super().__init__(detail)
        self.attempts = attempts
        self.leader = leader


@dataclass(frozen=True)
class CommittedCommand:
    """A committed command's result.

    :param index: a log index at which the command is committed, or whose state already holds it.
    :param attempts: how often the command was tried, also while no leader was known.
    """

    result: CommandResult
    index: int
    attempts: int


@dataclass
class _CommandInProgress:
    """A command that was proposed and whose result is not known yet, and the calls that wait.

    :param answered: set once ``result`` and ``index`` are known.
    :param callers: count of the calls that wait for the result.
    :param attempts: how often the command was tried, also while no leader was known.
    :param is_sent: whether an attempt is under way that has neither failed nor expired.
    :param sent_to: the leader's address at the last attempt.
    :param resend_at: when the attempt counts as lost, in seconds on the runtime's clock.
    """

    command: AnyCommand
    encoded: bytes
    answered: anyio.Event = field(default_factory=anyio.Event)
    result: CommandResult | None = None
    index: int = 0
    callers: int = 0
    attempts: int = 0
    is_sent: bool = False
    sent_to: str = ""
    resend_at: float = 0.0


@dataclass
class _Confirmation:
    """Reads that were sent for one confirmation, any of which may be answered.

    :param answered: set once the newest read has failed, or any read has succeeded.
    :param attempts: how many reads were sent, also while no leader was known.
    """

    answered: anyio.Event = field(default_factory=anyio.Event)
    is_confirmed: bool = False
    attempts: int = 0


@dataclass
class ControlLog:
    """Proposes commands to the control log, and confirms that the local state is up to date.

    A command may be sent again, so only idempotent commands may be committed. While it is in
    progress, further calls for it wait for the same result, also after the first call gave up.
    """

    voter: Voter
    in_progress: dict[bytes, _CommandInProgress] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.voter.step_listeners.append(self._find_results)

    async def commit(self, command: AnyCommand, timeout_s: float) -> CommittedCommand:
        """Commit an idempotent command and return its result.

        :param timeout_s: how long to wait, in seconds; the command stays proposed after that.
        :raises ControlUnavailable: when the command was not committed in time.
        """
        known = self.voter.state.state.known_result(command)
        if known is not None:
            return CommittedCommand(known, self.voter.state.applied_index, 0)
        encoded = COMMAND_CODEC.encode(command)
        waiting = self.in_progress.get(encoded)
        if waiting is None:
            waiting = self.in_progress[encoded] = _CommandInProgress(command, encoded)
        waiting.callers += 1
        try:
            with anyio.move_on_after(timeout_s):
                return await self._send_until_answered(waiting)
        finally:
            waiting.callers -= 1
            self._forget_if_abandoned(waiting)
        raise self._unavailable(timeout_s, waiting.attempts)

    async def confirm(self, timeout_s: float) -> int:
        """Wait until this voter's state holds everything that was committed before the call.

        :param timeout_s: how long to try, in seconds.
        :return: how often the confirmation was tried.
        :raises ControlUnavailable: when no quorum confirmed the state in time.
        """
        confirmation = _Confirmation()
        with anyio.move_on_after(timeout_s):
            while not confirmation.is_confirmed:
                if confirmation.attempts:
                    await anyio.sleep(RETRY_DELAY_S)
                confirmation.attempts += 1
                self._send_read(confirmation)
                with anyio.move_on_after(ATTEMPT_TIMEOUT_S):
                    await confirmation.answered.wait()
            return confirmation.attempts
        raise self._unavailable(timeout_s, confirmation.attempts)

    def _unavailable(self, timeout_s: float, attempts: int) -> ControlUnavailable:
        detail = f"no quorum of the control group answered within {timeout_s} s"
        return ControlUnavailable(detail, attempts, self.voter.leader_address)

    async def _send_until_answered(self, waiting: _CommandInProgress) -> CommittedCommand:
        """Send a command again only when its last attempt failed or counts as lost."""
        while waiting.result is None:
            leader = self.voter.leader_address
            is_lost = anyio.current_time() >= waiting.resend_at
            if not waiting.is_sent or is_lost or leader not in ("", waiting.sent_to):
                self._send(waiting, leader)
            with anyio.move_on_after(RETRY_DELAY_S):
                await waiting.answered.wait()
        return CommittedCommand(waiting.result, waiting.index, waiting.attempts)

    def _send(self, waiting: _CommandInProgress, leader: str) -> None:
        waiting.attempts += 1
        waiting.is_sent = True
        waiting.sent_to = leader
        transfer_s = len(waiting.encoded) / MIN_LINK_BYTES_PER_S
        waiting.resend_at = anyio.current_time() + ATTEMPT_TIMEOUT_S + transfer_s
        attempt = waiting.attempts

        def succeed(index: int, result: bytes) -> None:
            self._on_result(waiting, index, RESULT_CODEC.decode(result))

        def fail(*_: object) -> None:
            if attempt == waiting.attempts:
                waiting.is_sent = False
                self._forget_if_abandoned(waiting)

        self.voter.submit_request(RequestPurpose.COMMAND, waiting.encoded, succeed, fail)

    def _on_result(self, waiting: _CommandInProgress, index: int, result: CommandResult) -> None:
        if waiting.result is None:
            waiting.result = result
            waiting.index = index
            waiting.answered.set()
        self.in_progress.pop(waiting.encoded, None)

    def _forget_if_abandoned(self, waiting: _CommandInProgress) -> None:
        """Forget a command that nobody waits for and that is not under way either."""
        if not waiting.callers and not waiting.is_sent:
            self.in_progress.pop(waiting.encoded, None)

    def _find_results(self) -> None:
        """Complete commands that the local state holds, even if the leader's answer was lost."""
        for waiting in list(self.in_progress.values()):
            result = self.voter.state.state.known_result(waiting.command)
            if result is not None:
                self._on_result(waiting, self.voter.state.applied_index, result)

    def _send_read(self, confirmation: _Confirmation) -> None:
        """Send a read; the answers to earlier ones of the same confirmation still count."""
        answered = confirmation.answered = anyio.Event()

        def succeed(*_: object) -> None:
            confirmation.is_confirmed = True
            confirmation.answered.set()

        def fail(*_: object) -> None:
            answered.set()

        self.voter.submit_request(RequestPurpose.READ, b"", succeed, fail)

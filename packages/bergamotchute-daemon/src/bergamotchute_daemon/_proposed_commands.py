"""Commands that a leader has proposed and whose outcome is open."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ProposedCommands:
    """Lets a repeated command join the proposal in progress, in place of another log entry.

    :param proposal_by_command: the token of the proposal of each encoded command.
    :param joined: the tokens of the requests that joined each proposal.
    """

    proposal_by_command: dict[bytes, str] = field(default_factory=dict)
    joined: dict[str, tuple[bytes, list[str]]] = field(default_factory=dict)

    def join(self, command: bytes, token: str) -> bool:
        """Record a request for a command; return whether it has to be proposed."""
        proposal = self.proposal_by_command.get(command)
        if proposal is not None:
            self.joined[proposal][1].append(token)
            return False
        self.proposal_by_command[command] = token
        self.joined[token] = (command, [])
        return True

    def take_tokens(self, proposal: str) -> list[str]:
        """Remove a proposal whose outcome is known; return the tokens that wait for it."""
        if proposal not in self.joined:
            return [proposal]
        command, tokens = self.joined.pop(proposal)
        del self.proposal_by_command[command]
        return [proposal, *tokens]

    def clear(self) -> None:
        """Remove all proposals, because the replica stops."""
        self.proposal_by_command.clear()
        self.joined.clear()

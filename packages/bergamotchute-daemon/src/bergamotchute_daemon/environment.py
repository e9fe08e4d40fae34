"""What a process gets from outside: links, time and chance."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bergamotchute_consensus.messages import ConsensusMessage
from bergamotchute_daemon.event_log import WallClock
from bergamotchute_model.attempt_messages import AttemptMessage
from bergamotchute_model.control_messages import ControlMessage
from bergamotchute_wire.link import Dial

ATTEMPTS_PATH = "/attempts"
"""Links of entries to agents."""

CONTROL_PATH = "/control"
"""Links of entries, agents and relays to relays."""

VOTER_PATH = "/voter"
"""Links of relays to voters."""

CONSENSUS_PATH = "/consensus"
"""Links between voters."""


@dataclass(frozen=True)
class Environment:
    """Everything outside a process that its parts touch; tests pass their own.

    :param incarnation: fresh at each start.
    :param wall_us: wall time in microseconds, advancing with the runtime clock.
    :param dial_consensus: opens links between voters.
    """

    incarnation: str
    random: Random
    wall_us: WallClock
    dial_attempts: Dial[AttemptMessage]
    dial_control: Dial[ControlMessage]
    dial_voter: Dial[ControlMessage]
    dial_consensus: Dial[ConsensusMessage]

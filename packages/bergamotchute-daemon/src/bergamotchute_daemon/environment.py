"""The external dependencies of a process: links, time and randomness."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bergamotchute_consensus.messages import ConsensusMessage
from bergamotchute_daemon.event_log import WallClock
from bergamotchute_model.attempt_messages import AttemptMessage
from bergamotchute_model.control_messages import ControlMessage
from bergamotchute_wire.link import Dial

ATTEMPTS_PATH = "/attempts"
"""Path of links from entries to agents."""

CONTROL_PATH = "/control"
"""Path of links from entries, agents and relays to relays."""

VOTER_PATH = "/voter"
"""Path of links from relays to voters."""

CONSENSUS_PATH = "/consensus"
"""Path of links between voters."""


@dataclass(frozen=True)
class Environment:
    """The external dependencies of a process; tests replace them.

    :param incarnation: unique to each start of the process.
    :param wall_us: returns wall time in microseconds, advancing with the runtime clock.
    :param dial_consensus: opens links between voters.
    """

    incarnation: str
    random: Random
    wall_us: WallClock
    dial_attempts: Dial[AttemptMessage]
    dial_control: Dial[ControlMessage]
    dial_voter: Dial[ControlMessage]
    dial_consensus: Dial[ConsensusMessage]

"""How long an engine takes, from the figures that come with the configuration.

Checked against passes timed on the users' platform at 1 to 7 requests a rank and skews of 1.1 to 4: a
pass takes a fixed part a step, and a part a request of which the experts' share grows with the skew.
"""

from __future__ import annotations

import math

from bergamotchute_model.node_messages import EnginePace
from bergamotchute_model.whole_configuration import EngineFigures

USUAL_SKEW = 1.3
"""Load of the most loaded rank over the mean between two turns of the demand, as measured."""


FIRST_SKEW = 3.5
"""The same with the first map of a group, which fits no demand, as measured."""


def pass_s(engine: EngineFigures, requests: float, skew: float = USUAL_SKEW) -> float:
    """Return the time of a pass in seconds.

    :param requests: that each rank runs.
    """
    spread = 1.0 + engine.expert_share * (skew - 1.0)
    return engine.stride * (engine.step_s + requests * engine.step_per_request_s * spread)


def engine_pace(engine: EngineFigures, pause_s: float) -> EnginePace:
    """Return what an agent is told of its engine.

    :param pause_s: longest pause between events with which a stream is in time.
    """
    reading_s = engine.usual_prompt / engine.prefill_tokens_per_s
    empty_s = pass_s(engine, 0.0) + reading_s
    added_s = pass_s(engine, 1.0, FIRST_SKEW) - pass_s(engine, 0.0)
    return EnginePace(engine.slots, round(empty_s, 4), round(added_s, 4), pause_s)


def draft_s(engine: EngineFigures, requests: float) -> float:
    """Return the time of a usual draft from its start to its last event in seconds."""
    passes = math.ceil(engine.usual_output / engine.stride)
    return passes * pass_s(engine, requests) + engine.usual_prompt / engine.prefill_tokens_per_s


def drain_s(engine: EngineFigures, waiting: int) -> float:
    """Return how long an engine with full slots takes to begin what waits, in seconds."""
    return waiting * draft_s(engine, engine.slots) / engine.slots

"""Model of an engine's forward-pass and request durations, from its configured figures.

The model matches passes timed on the production platform with 1 to 7 requests per rank and skews of
1.1 to 4. A pass takes a fixed time per step plus a time per request, of which the experts' share
grows with the skew.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from bergamotchute_model.versioned_configuration import EnginePerformance

TYPICAL_SKEW = 1.3
"""Measured load of the most loaded rank over the mean while expert demand is stable."""

INITIAL_MAP_SKEW = 3.5
"""Measured skew with the initial expert map of a group, which is not fitted to any demand."""


@dataclass(frozen=True)
class EngineTiming:
    """Timing of a service's engines and the pauses that its streams may have.

    :param slots: count of requests that an engine can run concurrently.
    :param empty_pass_s: duration of a pass that reads a prompt of usual length and generates
        nothing, in seconds.
    :param steps_s: the part of it that the token steps take, which a slow rank lengthens.
    :param added_s: time that each generating request adds to a pass if the expert map does not
        match the demand, in seconds.
    :param pause_s: longest pause between events with which a stream meets its objective, in
        seconds.
    """

    slots: int
    empty_pass_s: float
    added_s: float
    pause_s: float
    steps_s: float = 0.0


def pass_s(engine: EnginePerformance, requests: float, skew: float = TYPICAL_SKEW) -> float:
    """Return the duration of a forward pass in seconds.

    :param requests: requests that each rank runs.
    :param skew: load of the most loaded rank over the mean.
    """
    skew_factor = 1.0 + engine.expert_share * (skew - 1.0)
    return engine.stride * (engine.step_s + requests * engine.step_per_request_s * skew_factor)


def usual_prefill_s(engine: EnginePerformance) -> float:
    """Return how long reading a prompt of usual length takes, in seconds."""
    return engine.usual_prompt / engine.prefill_tokens_per_s


def engine_timing(engine: EnginePerformance, pause_s: float) -> EngineTiming:
    """Return the timing of an engine whose streams have an objective for their pauses.

    :param pause_s: longest pause between two events of a stream that meets its objective.
    """
    empty_s = pass_s(engine, 0.0) + usual_prefill_s(engine)
    added_s = pass_s(engine, 1.0, INITIAL_MAP_SKEW) - pass_s(engine, 0.0)
    return EngineTiming(engine.slots, empty_s, added_s, pause_s, pass_s(engine, 0.0))


def request_duration_s(engine: EnginePerformance, requests: float) -> float:
    """Return the duration of a typical request, from its start to its last event, in seconds."""
    passes = math.ceil(engine.usual_output / engine.stride)
    return passes * pass_s(engine, requests) + usual_prefill_s(engine)


def queue_drain_s(engine: EnginePerformance, waiting: int) -> float:
    """Return the seconds that an engine with full slots takes to start all waiting requests."""
    return waiting * request_duration_s(engine, engine.slots) / engine.slots

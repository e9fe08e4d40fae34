"""Counts messages and bytes of one map change, sent directly and through the tree."""

from __future__ import annotations

import zlib

import numpy as np

from bergamotchute_model.rank_messages import (
    DecisionKnown,
    FanOut,
    GatheredAnswers,
    HoldStep,
    LoggedMapRecord,
    MapChangeId,
    MapDecided,
    MapPrepared,
    MapRecord,
    PrepareMap,
    RankMessage,
    StepHeld,
)
from bergamotchute_policy.expert_packing import pack_experts
from bergamotchute_policy.map_tree import FAN_OUT, split_into_branches
from bergamotchute_wire.message_codec import MessageCodec


def count(ranks: int, layers: int, slots: int) -> str:
    """Return a line of figures for one group."""
    codec: MessageCodec[RankMessage] = MessageCodec(RankMessage)
    random = np.random.default_rng(1)
    popularity = random.permuted(np.tile(np.arange(1, 65) ** -0.6, (layers, 1)), axis=1)
    data = pack_experts(popularity, np.ones(ranks), slots).encode()
    change = MapChangeId(7, 3)
    record = MapRecord(4, "a" * 64, 1000, change, ranks, (), (), False, 3, "b" * 64)
    logged = LoggedMapRecord(7, 3, record)
    down = [
        PrepareMap("g", change, logged, "c" * 64, data),
        HoldStep("g", change, logged, 1010),
        MapDecided("g", logged),
    ]
    up = [
        MapPrepared("g", change, 5, "life", 1000),
        StepHeld("g", change, 5, "life", 1010, 1001),
        DecisionKnown("g", 8, 5, "life"),
    ]
    direct = ranks * (sum(len(codec.encode(one)) for one in down))
    direct += ranks * sum(len(codec.encode(GatheredAnswers(1, (one,)))) for one in up)
    parts = split_into_branches(tuple(range(ranks)))
    head = sum(
        len(codec.encode(FanOut(1, one, part.descendants))) for one in down for part in parts
    )
    answers = ranks * sum(len(codec.encode(GatheredAnswers(1, (one,)))) for one in up)
    return (
        f"{ranks:4} ranks, {layers} layers: map {len(data)} B ({len(zlib.compress(data))} B "
        f"deflated); coordinator direct {3 * ranks} out {3 * ranks} in, {direct} B; tree of "
        f"{FAN_OUT}: {3 * len(parts)} out {3 * ranks} in, {head + answers} B"
    )


if __name__ == "__main__":
    print(count(16, 60, 6))
    print(count(256, 60, 2))

"""Divide ranks into subtrees, so that a message reaches many ranks over few links."""

from __future__ import annotations

from dataclasses import dataclass

FAN_OUT = 16


@dataclass(frozen=True)
class Branch:
    """A rank that receives a message, and the ranks that it forwards the message to."""

    root_rank: int
    descendants: tuple[int, ...]


def split_into_branches(
    ranks: tuple[int, ...], *, previous_send_count: int = 0, fan_out: int = FAN_OUT
) -> tuple[Branch, ...]:
    """Divide ranks into at most ``fan_out`` branches of even size.

    :param previous_send_count: the number of times that the message was sent before. Each value
        puts other ranks at the roots, so that a dead root cuts off its subtree only once.
    """
    if not ranks:
        return ()
    start = previous_send_count % len(ranks)
    order = ranks[start:] + ranks[:start]
    count = min(fan_out, len(order))
    size, remainder = divmod(len(order), count)
    divided = []
    at = 0
    for number in range(count):
        end = at + size + (number < remainder)
        divided.append(Branch(order[at], order[at + 1 : end]))
        at = end
    return tuple(divided)

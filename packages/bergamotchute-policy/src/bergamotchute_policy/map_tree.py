"""Divides ranks into subtrees, so that one message reaches many through few links."""

from __future__ import annotations

from dataclasses import dataclass

FAN_OUT = 16


@dataclass(frozen=True)
class Branch:
    """A rank to send to, and the ranks that it passes the message on to."""

    head: int
    subtree: tuple[int, ...]


def branches(
    ranks: tuple[int, ...], *, turn: int = 0, fan_out: int = FAN_OUT
) -> tuple[Branch, ...]:
    """Divide ranks into at most ``fan_out`` branches of even size.

    :param turn: counts the tries of one message; another turn makes other ranks the heads, so
        that a dead head hides its subtree once only.
    """
    if not ranks:
        return ()
    start = turn % len(ranks)
    order = ranks[start:] + ranks[:start]
    count = min(fan_out, len(order))
    size, longer = divmod(len(order), count)
    made = []
    at = 0
    for number in range(count):
        end = at + size + (number < longer)
        made.append(Branch(order[at], order[at + 1 : end]))
        at = end
    return tuple(made)

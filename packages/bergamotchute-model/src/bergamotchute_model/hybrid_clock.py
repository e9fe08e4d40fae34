"""Hybrid logical clock: stamps that order events over processes, close to wall time."""

from __future__ import annotations

from dataclasses import dataclass

MAX_AHEAD_US = 60_000_000
COUNT_BOUND = 1_000_000


@dataclass(frozen=True, order=True)
class HybridStamp:
    """One point in the order of events.

    :param wall_us: microseconds since the Unix epoch, of the fastest clock heard of.
    :param count: tells apart stamps of one microsecond.
    """

    wall_us: int
    count: int

    def __str__(self) -> str:
        return f"{self.wall_us // 1_000_000}.{self.wall_us % 1_000_000:06d}+{self.count:06d}"

    @classmethod
    def parse(cls, text: str) -> HybridStamp:
        """Read what :meth:`__str__` gives.

        :raises ValueError: when the text has another form.
        """
        clock, plus, count = text.partition("+")
        seconds, dot, micros = clock.partition(".")
        digits = (seconds, micros, count)
        if not plus or not dot or len(micros) != 6 or not all(_is_ascii_decimal(d) for d in digits):
            raise ValueError(f"expected SECONDS.MICROSECONDS+COUNT, found {text!r}")
        return cls(int(seconds) * 1_000_000 + int(micros), int(count))


def _is_ascii_decimal(text: str) -> bool:
    return text.isascii() and text.isdecimal()


class HybridClock:
    """Gives stamps that never go back and always exceed those witnessed.

    Wall time comes in as an argument, so that the clock does no input or output. A stamp that is
    ahead of the wall by more than :data:`MAX_AHEAD_US` is not followed: one process whose clock
    jumped must not carry the whole fleet with it.

    :param last: the newest stamp given or witnessed.
    :param refused: how many witnessed stamps were too far ahead.
    """

    def __init__(self) -> None:
        self.last = HybridStamp(0, 0)
        self.refused = 0

    def stamp(self, wall_us: int) -> HybridStamp:
        """Return a stamp for an event here and now."""
        self.last = _next_stamp(self.last, wall_us)
        return self.last

    def witness(self, remote: HybridStamp, wall_us: int) -> None:
        """Take note of a stamp that came with a message."""
        if remote.wall_us > wall_us + MAX_AHEAD_US:
            self.refused += 1
            return
        self.last = max(self.last, remote)


def _next_stamp(last: HybridStamp, wall_us: int) -> HybridStamp:
    """Return the first stamp after ``last`` that is not before ``wall_us``."""
    if wall_us > last.wall_us:
        return HybridStamp(wall_us, 0)
    if last.count + 1 < COUNT_BOUND:
        return HybridStamp(last.wall_us, last.count + 1)
    return HybridStamp(last.wall_us + 1, 0)

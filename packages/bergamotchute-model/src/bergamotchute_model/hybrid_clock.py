"""Hybrid logical clock: timestamps that order events across processes and stay near wall time."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CLOCK_AHEAD_US = 60_000_000
COUNT_BOUND = 1_000_000


@dataclass(frozen=True, order=True)
class HybridTimestamp:
    """A timestamp of the hybrid logical clock.

    :param wall_us: microseconds since the Unix epoch, by the fastest clock among the processes that
        exchanged messages.
    :param count: orders timestamps of the same microsecond.
    """

    wall_us: int
    count: int

    def __str__(self) -> str:
        return f"{self.wall_us // 1_000_000}.{self.wall_us % 1_000_000:06d}+{self.count:06d}"

    @classmethod
    def parse(cls, text: str) -> HybridTimestamp:
        """Parse the format of :meth:`__str__`.

        :raises ValueError: if the text has another format.
        """
        wall_time, plus, count = text.partition("+")
        seconds, dot, microseconds = wall_time.partition(".")
        parts = (seconds, microseconds, count)
        if (
            not plus
            or not dot
            or len(microseconds) != 6
            or not all(_is_ascii_decimal(part) for part in parts)
        ):
            raise ValueError(f"expected SECONDS.MICROSECONDS+COUNT, found {text!r}")
        return cls(int(seconds) * 1_000_000 + int(microseconds), int(count))


def _is_ascii_decimal(text: str) -> bool:
    return text.isascii() and text.isdecimal()


class HybridClock:
    """Issues strictly increasing timestamps that exceed every observed remote timestamp.

    Wall time is passed in as an argument, so that the clock does no I/O. Remote timestamps that are
    ahead of wall time by more than :data:`MAX_CLOCK_AHEAD_US` are ignored, so that a process whose clock
    jumped forward doesn't advance the clocks of all others.

    :param last_stamp: the newest timestamp issued or observed.
    :param refused: count of remote timestamps that were ignored as too far ahead.
    """

    def __init__(self) -> None:
        self.last_stamp = HybridTimestamp(0, 0)
        self.refused = 0

    def stamp(self, wall_us: int) -> HybridTimestamp:
        """Return the timestamp of a local event."""
        self.last_stamp = _next_stamp(self.last_stamp, wall_us)
        return self.last_stamp

    def observe(self, remote: HybridTimestamp, wall_us: int) -> None:
        """Advance the clock past the timestamp of a received message."""
        if remote.wall_us > wall_us + MAX_CLOCK_AHEAD_US:
            self.refused += 1
            return
        self.last_stamp = max(self.last_stamp, remote)


def _next_stamp(last: HybridTimestamp, wall_us: int) -> HybridTimestamp:
    """Return the smallest timestamp after ``last`` that is not before ``wall_us``."""
    if wall_us > last.wall_us:
        return HybridTimestamp(wall_us, 0)
    if last.count + 1 < COUNT_BOUND:
        return HybridTimestamp(last.wall_us, last.count + 1)
    return HybridTimestamp(last.wall_us + 1, 0)

"""A history of puts, reads and followers, checked as a register whose highest version wins."""

from __future__ import annotations

from dataclasses import dataclass, field


class HistoryViolation(Exception):
    """What a client saw can't be explained by any order of the calls."""


@dataclass
class ConfigurationHistory:
    """Records the calls of clients and checks each outcome against those before it.

    The history knows nothing but what was sent and answered. A put takes effect at some moment
    after it began and, if it was acknowledged, before that; a read returns the highest version in
    effect at some moment while it ran.

    :param begun: the texts whose put has begun, by version.
    :param settled: the text that a version was seen to have.
    :param in_effect: the highest version that was acknowledged or seen by a read that has ended.
    """

    begun: dict[int, set[bytes]] = field(default_factory=dict)
    settled: dict[int, bytes] = field(default_factory=dict)
    in_effect: int = 0
    acknowledged_count: int = 0
    read_count: int = 0
    follower_count: int = 0

    def begin_put(self, version: int, text: bytes) -> None:
        """Record that a put begins."""
        self.begun.setdefault(version, set()).add(text)

    def acknowledge(self, version: int) -> None:
        """Record that a put was acknowledged."""
        self.acknowledged_count += 1
        self.in_effect = max(self.in_effect, version)

    def end_read(self, in_effect_at_start: int, version: int, text: bytes) -> None:
        """Check what a read returned.

        :param in_effect_at_start: :attr:`in_effect` when the read began.
        :raises HistoryViolation: when it returned an older version, or one that nobody sent.
        """
        self.check_text(version, text)
        if version < in_effect_at_start:
            raise HistoryViolation(
                f"a read returned version {version}; {in_effect_at_start} was in effect before it"
            )
        self.read_count += 1
        self.in_effect = max(self.in_effect, version)

    def check_version(self, version: int) -> None:
        """Check that a version is one that was sent.

        :raises HistoryViolation: when nobody sent it.
        """
        if version and version not in self.begun:
            raise HistoryViolation(f"version {version} was never put")

    def check_text(self, version: int, text: bytes) -> None:
        """Check that a version has one text, which was sent for it.

        :raises HistoryViolation: when it has another one.
        """
        self.check_version(version)
        if version and text not in self.begun[version]:
            raise HistoryViolation(f"version {version} has a text that nobody put")
        if not version and text:
            raise HistoryViolation("there is a text without a version")
        if self.settled.setdefault(version, text) != text:
            raise HistoryViolation(f"version {version} has two texts")


@dataclass
class FollowedVersions:
    """What one link of a follower has told so far.

    :param in_effect_at_start: the version in effect when the link opened.
    :param is_confirmed: whether the link has told that its state is the newest.
    """

    history: ConfigurationHistory
    in_effect_at_start: int
    is_confirmed: bool = False
    version: int = 0

    def on_confirmed(self) -> None:
        """Record that the state told with the next version counts as the newest."""
        if not self.is_confirmed:
            self.is_confirmed = True
            self.history.follower_count += 1

    def check_first_version(self) -> None:
        """Check the version told together with the confirmation.

        :raises HistoryViolation: when it is older than the one in effect as the link opened.
        """
        if self.is_confirmed and self.version < self.in_effect_at_start:
            raise HistoryViolation(
                f"a follower was told version {self.version} as the newest; "
                f"{self.in_effect_at_start} was in effect before it connected"
            )

    def on_version(self, version: int) -> None:
        """Check a version that the link tells.

        :raises HistoryViolation: when it goes back, or nobody sent it.
        """
        self.history.check_version(version)
        if version <= self.version:
            raise HistoryViolation(f"a follower at {self.version} was told version {version}")
        self.version = version

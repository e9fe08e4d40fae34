"""Keeps the newest configuration that a control VM has confirmed."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    ConfigurationText,
    ConfigurationVersion,
    NodeMessage,
    QueryConfiguration,
)
from bergamotchute_model.versioned_configuration import VersionedConfiguration

REQUEST_RETRY_DELAY_S = 0.4
"""How long to wait for a configuration's text before it is requested again."""

MAX_FIRST_TEXT_AGE_S = 1.0
"""How long ago a newer version may have been reported for a text to be the first in force.

Some age is allowed as versions may follow each other faster than their texts arrive.
"""


@dataclass
class ConfigurationFollower:
    """Requests a newer configuration when a control VM reports one, at first from that VM alone.

    :param read: parses a text; raises :class:`ValueError` when it is invalid.
    :param post: sends a message to one control VM.
    :param post_all: sends a message to every linked control VM.
    :param on_configuration: called with each newer configuration.
    :param newer_reported_at: when a version was first reported that is newer than the one in force, on
        the runtime's clock; ``None`` if there is none.
    :param reported: the versions reported while no configuration is in force, and when, on the
        runtime's clock.
    :param awaited: when the text was last requested from each control VM that has not sent it, on
        the runtime's clock.
    """

    read: Callable[[bytes], VersionedConfiguration]
    post: Callable[[Address, NodeMessage], None]
    post_all: Callable[[NodeMessage], None]
    on_configuration: Callable[[VersionedConfiguration], None]
    log: EventLog
    version: int = 0
    requested_version: int = 0
    requested_at: float = float("-inf")
    newer_reported_at: float | None = None
    reported: list[tuple[float, int]] = field(default_factory=list)
    awaited: dict[Address, float] = field(default_factory=dict)

    def on_version(self, address: Address, message: ConfigurationVersion) -> None:
        """Request the text of a newer version, unless it was requested recently."""
        if message.version <= self.version:
            return
        now = anyio.current_time()
        if self.newer_reported_at is None:
            self.newer_reported_at = now
        if not self.version:
            self.reported.append((now, message.version))
        is_recent = now - self.requested_at < REQUEST_RETRY_DELAY_S
        if message.version <= self.requested_version and is_recent:
            return
        self.requested_version = max(self.requested_version, message.version)
        if now - self.awaited.get(address, float("-inf")) >= REQUEST_RETRY_DELAY_S:
            self._request(address)

    def _request(self, address: Address) -> None:
        self.requested_at = self.awaited[address] = anyio.current_time()
        self.post(address, QueryConfiguration())

    def on_text(self, address: Address, message: ConfigurationText) -> None:
        """Put a newer configuration in force; ignore an older one.

        Versions that were reported while this text was on its way are requested now, as one. A
        process without a configuration serves nothing; it waits for a version that was in force
        when it started, or since a short time ago.
        """
        self.awaited.pop(address, None)
        oldest_usable = self._oldest_usable_version()
        if message.version < oldest_usable:
            self.log.emit(
                events.VIEW_OUTDATED,
                revision=message.version,
                peer=str(address),
                newest=oldest_usable,
            )
            return
        if message.version > self.version:
            self._use(address, message)
        if message.version < self.requested_version and self.version < self.requested_version:
            self._request(address)

    def _oldest_usable_version(self) -> int:
        """Return the oldest version that may be the first in force; 0 if one is in force."""
        if self.version:
            return 0
        reported_until = anyio.current_time() - MAX_FIRST_TEXT_AGE_S
        first = [version for _, version in self.reported[:1]]
        aged = [version for at, version in self.reported if at <= reported_until]
        return max(first + aged, default=0)

    def _use(self, address: Address, message: ConfigurationText) -> None:
        try:
            configuration = self.read(zlib.decompress(message.packed))
        except (ValueError, zlib.error) as error:
            self.log.emit(events.VIEW_UNREADABLE, revision=message.version, detail=str(error))
            return
        self.version = message.version
        self.reported.clear()
        now = anyio.current_time()
        waited_s = 0.0 if self.newer_reported_at is None else now - self.newer_reported_at
        self.newer_reported_at = now if self.version < self.requested_version else None
        self.log.emit(
            events.VIEW_ADVANCED,
            revision=message.version,
            peer=str(address),
            waited_ms=round(1000 * waited_s),
        )
        self.on_configuration(configuration)

    async def run(self) -> None:
        """Request a text that has not arrived again, from every linked control VM."""
        while True:
            await anyio.sleep(REQUEST_RETRY_DELAY_S)
            waited_s = anyio.current_time() - self.requested_at
            if self.requested_version > self.version and waited_s > REQUEST_RETRY_DELAY_S:
                self.requested_at = anyio.current_time()
                self.post_all(QueryConfiguration())

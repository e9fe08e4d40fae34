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


@dataclass
class ConfigurationFollower:
    """Requests a newer configuration when a control VM reports one, at first from that VM alone.

    :param read: parses a text; raises :class:`ValueError` when it is invalid.
    :param post: sends a message to one control VM.
    :param post_all: sends a message to every linked control VM.
    :param on_configuration: called with each newer configuration.
    :param asked_version: the newest version that was reported before a text was last requested.
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
    asked_version: int = 0
    awaited: dict[Address, float] = field(default_factory=dict)

    def on_version(self, address: Address, message: ConfigurationVersion) -> None:
        """Request the text of a newer version, unless it was requested recently."""
        if message.version <= self.version:
            return
        now = anyio.current_time()
        is_recent = now - self.requested_at < REQUEST_RETRY_DELAY_S
        if message.version <= self.requested_version and is_recent:
            return
        self.requested_version = max(self.requested_version, message.version)
        if now - self.awaited.get(address, float("-inf")) >= REQUEST_RETRY_DELAY_S:
            self._request(address)

    def _request(self, address: Address) -> None:
        self.requested_at = self.awaited[address] = anyio.current_time()
        self.asked_version = self.requested_version
        self.post(address, QueryConfiguration())

    def on_text(self, address: Address, message: ConfigurationText) -> None:
        """Put a newer configuration in force; ignore an older one.

        Versions that were reported while this text was on its way are requested now, as one. A
        process without a configuration serves nothing; it waits for the version for which it asked
        or a newer one.
        """
        self.awaited.pop(address, None)
        if not self.version and message.version < self.asked_version:
            self.log.emit(
                events.VIEW_OUTDATED,
                revision=message.version,
                peer=str(address),
                newest=self.asked_version,
            )
            return
        if message.version > self.version:
            self._use(message)
        if message.version < self.requested_version and self.version < self.requested_version:
            self._request(address)

    def _use(self, message: ConfigurationText) -> None:
        try:
            configuration = self.read(zlib.decompress(message.packed))
        except (ValueError, zlib.error) as error:
            self.log.emit(events.VIEW_UNREADABLE, revision=message.version, detail=str(error))
            return
        self.version = message.version
        self.log.emit(events.VIEW_ADVANCED, revision=message.version)
        self.on_configuration(configuration)

    async def run(self) -> None:
        """Request a text that has not arrived again, from every linked control VM."""
        while True:
            await anyio.sleep(REQUEST_RETRY_DELAY_S)
            waited_s = anyio.current_time() - self.requested_at
            if self.requested_version > self.version and waited_s > REQUEST_RETRY_DELAY_S:
                self.requested_at = anyio.current_time()
                self.asked_version = self.requested_version
                self.post_all(QueryConfiguration())

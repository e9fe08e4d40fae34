"""Keeps the newest whole configuration that a control VM has confirmed."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_model import events
from bergamotchute_model.identifiers import Address
from bergamotchute_model.node_messages import (
    AskConfiguration,
    ConfigurationText,
    ConfigurationVersion,
    NodeMessage,
)
from bergamotchute_model.whole_configuration import WholeConfiguration

ASK_AGAIN_S = 0.4
"""Wait for a configuration's text before another control VM is asked for it."""


@dataclass
class ConfigurationFollower:
    """Asks for a newer configuration when it hears of one, from one control VM at a time.

    :param read: raises :class:`ValueError` for what can't be read.
    :param post: sends a message to one control VM.
    :param post_all: sends a message to every linked control VM.
    :param on_configuration: told of each newer configuration.
    """

    read: Callable[[bytes], WholeConfiguration]
    post: Callable[[Address, NodeMessage], None]
    post_all: Callable[[NodeMessage], None]
    on_configuration: Callable[[WholeConfiguration], None]
    log: EventLog
    version: int = 0
    wanted_version: int = 0
    asked_at: float = float("-inf")

    def on_version(self, address: Address, message: ConfigurationVersion) -> None:
        """Ask for the text of a newer version, unless that was just done."""
        if message.version <= self.version:
            return
        recently = anyio.current_time() - self.asked_at < ASK_AGAIN_S
        if message.version <= self.wanted_version and recently:
            return
        self.wanted_version = max(self.wanted_version, message.version)
        self.asked_at = anyio.current_time()
        self.post(address, AskConfiguration())

    def on_text(self, message: ConfigurationText) -> None:
        """Take a newer configuration into force; an older one never comes back."""
        if message.version <= self.version:
            return
        try:
            configuration = self.read(zlib.decompress(message.packed))
        except (ValueError, zlib.error) as error:
            self.log.emit(events.VIEW_UNREADABLE, revision=message.version, detail=str(error))
            return
        self.version = message.version
        self.log.emit(events.VIEW_ADVANCED, revision=message.version)
        self.on_configuration(configuration)

    async def run(self) -> None:
        """Ask again for what did not come."""
        while True:
            await anyio.sleep(ASK_AGAIN_S)
            waited_s = anyio.current_time() - self.asked_at
            if self.wanted_version > self.version and waited_s > ASK_AGAIN_S:
                self.asked_at = anyio.current_time()
                self.post_all(AskConfiguration())

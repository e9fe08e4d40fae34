"""The configuration derived from the view."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from result import Ok

from bergamotchute_daemon.event_log import EventLog
from bergamotchute_daemon.view_holder import ViewHolder
from bergamotchute_model import events
from bergamotchute_model.configuration import Configuration, ConfigurationReader


@dataclass
class ConfigurationHolder:
    """Keeps the configuration of the newest view.

    :param revision: the view revision from which the configuration was derived.
    :param listeners: called with each new configuration, in order.
    """

    log: EventLog
    configuration: Configuration = field(default_factory=Configuration)
    revision: int = 0
    reader: ConfigurationReader = field(default_factory=ConfigurationReader)
    listeners: list[Callable[[Configuration], None]] = field(default_factory=list)

    def on_view_change(self, view: ViewHolder) -> None:
        """Merge the files in force; the voters validated them, so a failure here is a defect."""
        merged = self.reader.read(view.files.values(), view.decisions.values())
        if not isinstance(merged, Ok):
            self.log.emit(events.VIEW_UNREADABLE, revision=view.revision)
            return
        self.configuration = merged.ok_value
        self.revision = view.revision
        for listener in self.listeners:
            listener(self.configuration)

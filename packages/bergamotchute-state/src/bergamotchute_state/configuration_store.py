"""The configuration in force, stored as one text whose highest version wins."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bergamotchute_model.commands import ConfigurationPut, PutConfiguration


@dataclass
class ConfigurationStore:
    """The highest configuration version that was put, and its text.

    :param version: 0 while no configuration was put.
    """

    version: int = 0
    text: bytes = b""

    def on_put_configuration(self, command: PutConfiguration) -> ConfigurationPut:
        """Store a higher version; ignore an equal or lower one."""
        changed = command.version > self.version
        if changed:
            self.version = command.version
            self.text = command.text
        return ConfigurationPut(changed, self.version)

    def dump(self) -> list[Any]:
        """Return the version and text as a plain list."""
        return [self.version, self.text]

    @classmethod
    def load(cls, plain: list[Any]) -> ConfigurationStore:
        """Restore the store from the output of :meth:`dump`."""
        version, text = plain
        return cls(version, text)

"""The whole configuration in force: one version, of which the highest wins."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bergamotchute_model.commands import ConfigurationPut, PutConfiguration


@dataclass
class ConfigurationStore:
    """The highest version that was put, and its text.

    :param version: 0 while there is none.
    """

    version: int = 0
    text: bytes = b""

    def on_put_configuration(self, command: PutConfiguration) -> ConfigurationPut:
        """Take a higher version; an equal or lower one changes nothing."""
        changed = command.version > self.version
        if changed:
            self.version = command.version
            self.text = command.text
        return ConfigurationPut(changed, self.version)

    def dump(self) -> list[Any]:
        """Return the store in plain types."""
        return [self.version, self.text]

    @classmethod
    def load(cls, plain: list[Any]) -> ConfigurationStore:
        """Return the store that :meth:`dump` wrote."""
        version, text = plain
        return cls(version, text)

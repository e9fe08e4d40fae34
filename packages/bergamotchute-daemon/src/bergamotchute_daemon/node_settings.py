"""Settings of a process that is told no other nodes but a few seeds, read from one TOML file."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

import msgspec

from bergamotchute_model.identifiers import Address


class NodeSettingsError(Exception):
    """The settings file can't be used; the text says where and why."""


@dataclass(frozen=True)
class ListenSettings:
    """Where a process listens, as ``HOST:PORT``; empty for what it does not serve.

    :param callers: callers of an entry.
    :param ready: the platform's question whether an entry is ready.
    :param control: operators and endpoints.
    :param directory: callers that ask for entries.
    """

    callers: str = ""
    ready: str = ""
    control: str = ""
    directory: str = ""


@dataclass(frozen=True)
class NodeSettings:
    """What a process is told.

    :param name: unique over the deployment.
    :param host: the VM's IP number.
    :param link_port: where links between processes arrive, the same on all VMs.
    :param seeds: ``HOST:PORT`` of a few control VMs; only the hosts matter here.
    :param found: the whole system starts for the first time, with empty disks.
    :param disks_to_lose: control VMs that may be lost at once.
    :param heartbeat_ms: how often an endpoint sends a heartbeat, in milliseconds.
    :param stop_s: time between SIGTERM and SIGKILL, in seconds.
    :param retry_ratio: second sends allowed for each request of a service, over all entries.
    :param retry_slack: further second sends in each window of ten seconds, over all entries.
    :param data_folder: empty for a process without a disk.
    :param endpoint: ``HOST:PORT`` of the endpoint beside an agent.
    :param metrics_port: where metrics are served; 0 for nowhere.
    """

    name: str
    availability_zone: str
    host: str
    link_port: int
    seeds: tuple[str, ...]
    found: bool
    disks_to_lose: int
    heartbeat_ms: float
    stop_s: float
    retry_ratio: float
    retry_slack: float
    data_folder: str = ""
    endpoint: str = ""
    metrics_port: int = 0
    listen: ListenSettings = field(default_factory=ListenSettings)

    @property
    def link_address(self) -> Address:
        """Where the links of this process arrive."""
        return Address(self.host, self.link_port)

    @property
    def seed_links(self) -> tuple[Address, ...]:
        """Where the links of the seeds arrive."""
        return tuple(Address(Address.parse(seed).host, self.link_port) for seed in self.seeds)


@dataclass
class SettingsFile:
    """A settings file and the text that was last read from it."""

    path: Path
    text: str = ""

    def read(self) -> NodeSettings:
        """Read the settings.

        :raises NodeSettingsError: when the file can't be read or a setting is wrong.
        """
        try:
            self.text = self.path.read_text(encoding="utf-8")
            return _checked(tomllib.loads(self.text))
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            raise NodeSettingsError(f"{self.path}: {error}") from error
        except msgspec.ValidationError as error:
            raise NodeSettingsError(f"{self.path}: {error}") from error

    def changed(self) -> bool:
        """Return whether the file holds another text than was last read."""
        try:
            return self.path.read_text(encoding="utf-8") != self.text
        except (OSError, UnicodeDecodeError):
            # The platform is replacing the file; the next look finds it whole.
            return False


def _checked(plain: dict[str, Any]) -> NodeSettings:
    """Return the settings of a file.

    :raises msgspec.ValidationError: when one is unknown, missing or of another type.
    """
    listen = plain.get("listen", {})
    known = {each.name for each in fields(NodeSettings)}
    known_listen = {each.name for each in fields(ListenSettings)}
    unknown = [name for name in plain if name not in known]
    unknown += [f"listen.{name}" for name in listen if name not in known_listen]
    if unknown:
        raise msgspec.ValidationError(f"{', '.join(unknown)}: no such setting")
    return msgspec.convert(plain, NodeSettings)

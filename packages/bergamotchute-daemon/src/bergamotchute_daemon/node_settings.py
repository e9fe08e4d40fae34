"""Settings of a process that discovers other processes from seeds, read from one TOML file."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Annotated, Any

import msgspec

from bergamotchute_model.identifiers import Address


class NodeSettingsError(Exception):
    """The settings file can't be used; the message names the file and the cause."""


@dataclass(frozen=True)
class ListenSettings:
    """Addresses that a process listens on, as ``HOST:PORT``; empty for those it does not serve.

    :param callers: for requests of callers to an entry.
    :param ready: for the platform's readiness checks of an entry.
    :param control: for operators and endpoints.
    :param directory: for callers that ask for the addresses of entries.
    """

    callers: str = ""
    ready: str = ""
    control: str = ""
    directory: str = ""


@dataclass(frozen=True)
class NodeSettings:
    """The settings of one process.

    :param name: the name of the process, unique in the deployment.
    :param host: the IP address of the VM.
    :param link_port: the port for links between processes, the same on all VMs.
    :param seeds: ``HOST:PORT`` of a few control VMs; links use the hosts only.
    :param found: whether the deployment starts for the first time, with empty disks.
    :param disks_to_lose: the number of control VMs that may be lost at once.
    :param heartbeat_ms: interval between heartbeats of an endpoint, in milliseconds.
    :param stop_s: time between SIGTERM and SIGKILL, in seconds.
    :param retry_ratio: retries allowed for each request of a service, over all entries.
    :param retry_slack: further retries in each window of ten seconds, over all entries.
    :param cold_excess: the factor by which the requests of one second may exceed those that a service
        names for a cold endpoint, over all entries.
    :param cold_slack: further requests to a cold endpoint in each second, over all entries.
    :param second_send_share: requests that may be sent to a second endpoint because the first one is
        slow, as a share of requests; 0 to send none.
    :param zones: the availability zones of the deployment; empty to know only those of endpoints and
        entries.
    :param data_folder: the folder for stored data; empty for a process without a disk.
    :param endpoint: ``HOST:PORT`` of the endpoint beside an agent.
    :param metrics_port: the port that serves metrics; 0 to serve none.
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
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    second_send_share: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0
    zones: tuple[str, ...] = ()
    data_folder: str = ""
    endpoint: str = ""
    metrics_port: int = 0
    listen: ListenSettings = field(default_factory=ListenSettings)

    @property
    def link_address(self) -> Address:
        """The address that accepts links to this process."""
        return Address(self.host, self.link_port)

    @property
    def seed_link_addresses(self) -> tuple[Address, ...]:
        """The addresses that accept links to the seeds."""
        return tuple(Address(Address.parse(seed).host, self.link_port) for seed in self.seeds)


@dataclass
class SettingsFile:
    """A settings file and the text last read from it."""

    path: Path
    text: str = ""

    def read(self) -> NodeSettings:
        """Read the settings.

        :raises NodeSettingsError: when the file can't be read or a setting is invalid.
        """
        try:
            self.text = self.path.read_text(encoding="utf-8")
            return _parse_settings(tomllib.loads(self.text))
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
            raise NodeSettingsError(f"{self.path}: {error}") from error
        except msgspec.ValidationError as error:
            raise NodeSettingsError(f"{self.path}: {error}") from error

    def changed(self) -> bool:
        """Return whether the text of the file differs from the text last read."""
        try:
            return self.path.read_text(encoding="utf-8") != self.text
        except (OSError, UnicodeDecodeError):
            # The platform is replacing the file; the next poll reads the complete file.
            return False


def _parse_settings(plain: dict[str, Any]) -> NodeSettings:
    """Convert the parsed TOML values to settings.

    :raises msgspec.ValidationError: when a setting is unknown, missing or of the wrong type.
    """
    listen = plain.get("listen", {})
    known = {setting.name for setting in fields(NodeSettings)}
    known_listen_names = {setting.name for setting in fields(ListenSettings)}
    unknown = [name for name in plain if name not in known]
    unknown += [f"listen.{name}" for name in listen if name not in known_listen_names]
    if unknown:
        raise msgspec.ValidationError(f"{', '.join(unknown)}: unknown setting")
    return msgspec.convert(plain, NodeSettings)

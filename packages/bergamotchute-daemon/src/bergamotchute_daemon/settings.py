"""Process settings, from flags and environment variables, each checked at start."""

from __future__ import annotations

import argparse
import os
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from bergamotchute_model.identifiers import Address

Parsed = TypeVar("Parsed")

ENVIRONMENT_PREFIX = "BERGAMOTCHUTE_"
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
MIN_SECRET_CHARACTERS = 16
DRAIN_BOUND_S = 600.0
LAME_DUCK_S = 5.0
EVENT_LOOPS = ("asyncio", "trio")
LOG_LEVELS = ("debug", "info", "warning", "error", "none")


@dataclass(frozen=True)
class ProcessSettings:
    """What every process is told.

    :param name: unique over the deployment.
    :param relays: where relays listen; the process uses any one of them.
    :param cluster_token: the secret that all processes of the deployment share.
    :param drain_bound_s: how long a planned stop waits for work in flight, in seconds.
    :param event_file: where events go; ``None`` for nowhere but the log.
    :param log_level: the lowest level on stderr; ``none`` for silence.
    :param event_loop: what runs the tasks.
    """

    name: str
    vm: str
    availability_zone: str
    peer_listen: Address
    relays: tuple[Address, ...]
    cluster_token: str
    drain_bound_s: float
    event_file: Path | None
    log_level: str
    event_loop: str


@dataclass(frozen=True)
class EntrySettings(ProcessSettings):
    """What an entry is told.

    :param listen: where callers and operators connect.
    :param data_folder: where its control voter keeps its state; ``None`` for no voter.
    :param voters: where the initial voters listen for links, this one included.
    :param bootstrap: found a new control group with these voters; given once, at the very first
        start.
    :param relay: whether it hosts a relay.
    :param admin_token: the operators' secret.
    :param lame_duck_s: how long a stopping entry still takes new work, while callers learn of
        other addresses, in seconds.
    """

    listen: Address
    data_folder: Path | None
    voters: tuple[Address, ...]
    bootstrap: bool
    relay: bool
    admin_token: str
    lame_duck_s: float


@dataclass(frozen=True)
class AgentSettings(ProcessSettings):
    """What an agent is told.

    :param endpoint_url: where the endpoint serves HTTP.
    :param services: the services that the endpoint can serve.
    :param slots: requests that the endpoint runs side by side.
    :param honours_fencing: whether the endpoint itself refuses an old fencing number.
    :param group: the rank group that it belongs to; empty for none.
    :param rank: its rank in the group; -1 for none.
    :param listen: where it serves health, metrics and events; ``None`` for nowhere.
    """

    endpoint_url: str
    services: tuple[str, ...]
    slots: int
    honours_fencing: bool
    group: str
    rank: int
    listen: Address | None


class SettingsError(Exception):
    """A setting is missing or wrong; the text names its flag."""


def read_settings(
    arguments: Sequence[str], environment: Mapping[str, str] | None = None
) -> EntrySettings | AgentSettings:
    """Return the settings that flags and environment variables give; flags come first.

    :raises SettingsError: when one is missing or wrong.
    :raises SystemExit: when ``--help`` is asked for or a flag is unknown.
    """
    parser = build_parser(os.environ if environment is None else environment)
    values = parser.parse_args(arguments)
    return _entry_settings(values) if values.role == "entry" else _agent_settings(values)


def build_parser(environment: Mapping[str, str]) -> argparse.ArgumentParser:
    """Return the command-line parser, with defaults from the environment."""
    parser = argparse.ArgumentParser(
        prog="bergamotchuted",
        description="The processes of bergamotchute. Every flag can be given as an environment "
        f"variable: {ENVIRONMENT_PREFIX} and its name in capitals, as in "
        f"{ENVIRONMENT_PREFIX}PEER_LISTEN.",
    )
    roles = parser.add_subparsers(dest="role", required=True, metavar="ROLE")
    entry = roles.add_parser("entry", help="take callers' requests; host a voter and a relay")
    agent = roles.add_parser("agent", help="stand beside one endpoint and run attempts at it")
    for role in (entry, agent):
        _add_process_flags(_Flags(role, environment))
    _add_entry_flags(_Flags(entry, environment))
    _add_agent_flags(_Flags(agent, environment))
    return parser


@dataclass(frozen=True)
class _Flags:
    """Adds flags whose defaults come from the environment."""

    parser: argparse.ArgumentParser
    environment: Mapping[str, str]

    def add(self, flag: str, text: str, metavar: str, default: str | None = None) -> None:
        """Add a flag that takes a value."""
        variable = ENVIRONMENT_PREFIX + flag.lstrip("-").replace("-", "_").upper()
        value = self.environment.get(variable, default)
        shown = "" if default in (None, "") else f" (default: {default})"
        self.parser.add_argument(flag, default=value, metavar=metavar, help=text + shown)

    def add_switch(self, flag: str, text: str) -> None:
        """Add a flag that is there or not; the variable takes ``1`` or ``0``."""
        variable = ENVIRONMENT_PREFIX + flag.lstrip("-").replace("-", "_").upper()
        value = self.environment.get(variable, "0")
        if value not in ("0", "1"):
            raise SettingsError(f"{variable}: expected 0 or 1, found {value!r}")
        self.parser.add_argument(flag, action="store_true", default=value == "1", help=text)


def _add_process_flags(flags: _Flags) -> None:
    flags.add("--name", "name of this process, unique over the deployment", "NAME")
    flags.add("--vm", "name of the VM it runs on (default: its own name)", "NAME")
    flags.add("--zone", "availability zone that it runs in", "NAME")
    flags.add("--peer-listen", "where other processes reach it", "HOST:PORT")
    flags.add("--relays", "where relays listen", "HOST:PORT,...")
    flags.add("--cluster-token-file", "file with the secret of the deployment", "FILE")
    flags.add("--drain-bound", "longest wait of a planned stop", "SECONDS", str(DRAIN_BOUND_S))
    flags.add("--event-file", "file that numbered events are appended to", "FILE")
    flags.add("--event-loop", "asyncio, or the slower trio for comparison", "NAME", "asyncio")
    flags.add("--log-level", f"lowest level on stderr: {', '.join(LOG_LEVELS)}", "LEVEL", "info")


def _add_entry_flags(flags: _Flags) -> None:
    flags.add("--listen", "where callers and operators connect", "HOST:PORT")
    flags.add("--data", "folder for the state of a control voter; none without it", "FOLDER")
    flags.add("--voters", "peer addresses of the first voters, this one's too", "HOST:PORT,...")
    flags.add_switch("--bootstrap", "found a new control group; only at the very first start")
    flags.add_switch("--relay", "host a relay")
    flags.add("--admin-token-file", "file with the operators' secret", "FILE")
    flags.add(
        "--lame-duck",
        "how long a planned stop still takes new work, while callers learn other addresses",
        "SECONDS",
        str(LAME_DUCK_S),
    )


def _add_agent_flags(flags: _Flags) -> None:
    flags.add("--endpoint-url", "where the endpoint serves HTTP", "URL")
    flags.add("--services", "services that the endpoint can serve", "NAME,...")
    flags.add("--slots", "requests that the endpoint runs side by side", "NUMBER", "8")
    flags.add_switch("--honours-fencing", "the endpoint itself refuses an old fencing number")
    flags.add("--group", "rank group that the endpoint belongs to", "NAME", "")
    flags.add("--rank", "its rank in the group", "NUMBER", "-1")
    flags.add("--listen", "where to serve health, metrics and events", "HOST:PORT")


def _process_values(values: argparse.Namespace) -> dict[str, Any]:
    name = _name("--name", values.name)
    return {
        "name": name,
        "vm": _name("--vm", values.vm or name),
        "availability_zone": _name("--zone", values.zone),
        "peer_listen": _address("--peer-listen", values.peer_listen),
        "relays": _addresses("--relays", values.relays),
        "cluster_token": _secret("--cluster-token-file", values.cluster_token_file),
        "drain_bound_s": _number("--drain-bound", values.drain_bound, 0, 86_400),
        "event_file": Path(values.event_file) if values.event_file else None,
        "event_loop": _one_of("--event-loop", values.event_loop, EVENT_LOOPS),
        "log_level": _one_of("--log-level", values.log_level, LOG_LEVELS),
    }


def _entry_settings(values: argparse.Namespace) -> EntrySettings:
    data_folder = Path(values.data) if values.data else None
    voters = _addresses("--voters", values.voters) if values.voters else ()
    if data_folder is not None and not voters:
        raise SettingsError("--voters: needed with --data")
    if values.bootstrap and data_folder is None:
        raise SettingsError("--bootstrap: needs --data")
    if values.relay and not voters:
        raise SettingsError("--voters: needed with --relay")
    return EntrySettings(
        **_process_values(values),
        listen=_address("--listen", values.listen),
        data_folder=data_folder,
        voters=voters,
        bootstrap=values.bootstrap,
        relay=values.relay,
        admin_token=_secret("--admin-token-file", values.admin_token_file),
        lame_duck_s=_number("--lame-duck", values.lame_duck, 0, 3_600),
    )


def _agent_settings(values: argparse.Namespace) -> AgentSettings:
    url = _required("--endpoint-url", values.endpoint_url)
    if not re.fullmatch(r"https?://[^/\s]+/?", url):
        raise SettingsError(f"--endpoint-url: expected http://HOST:PORT, found {url!r}")
    services = _required("--services", values.services).split(",")
    return AgentSettings(
        **_process_values(values),
        endpoint_url=url.rstrip("/"),
        services=tuple(_name("--services", service) for service in services),
        slots=int(_number("--slots", values.slots, 1, 100_000)),
        honours_fencing=values.honours_fencing,
        group=_name("--group", values.group) if values.group else "",
        rank=int(_number("--rank", values.rank, -1, 65_535)),
        listen=_address("--listen", values.listen) if values.listen else None,
    )


def _required(flag: str, value: str | None) -> str:
    if not value:
        raise SettingsError(f"{flag}: missing")
    return value


def _name(flag: str, value: str | None) -> str:
    text = _required(flag, value)
    if not NAME_PATTERN.fullmatch(text):
        raise SettingsError(f"{flag}: expected 1 to 63 of a-z, 0-9, '.' and '-', found {text!r}")
    return text


def _address(flag: str, value: str | None) -> Address:
    return _parsed(flag, _required(flag, value), Address.parse)


def _addresses(flag: str, value: str | None) -> tuple[Address, ...]:
    parts = _required(flag, value).split(",")
    return tuple(_parsed(flag, part.strip(), Address.parse) for part in parts)


def _number(flag: str, value: str, lowest: float, highest: float) -> float:
    number = _parsed(flag, value, float)
    if not lowest <= number <= highest:
        raise SettingsError(f"{flag}: expected {lowest} to {highest}, found {value}")
    return number


def _one_of(flag: str, value: str, allowed: Sequence[str]) -> str:
    if value not in allowed:
        raise SettingsError(f"{flag}: expected one of {', '.join(allowed)}, found {value!r}")
    return value


def _parsed(flag: str, value: str, parse: Callable[[str], Parsed]) -> Parsed:
    try:
        return parse(value)
    except ValueError as error:
        raise SettingsError(f"{flag}: {error}") from error


def _secret(flag: str, path: str | None) -> str:
    """Return a secret from a file, which keeps it out of the process list and the environment."""
    file = Path(_required(flag, path))
    try:
        secret = file.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{flag}: can't read {file}: {error}") from error
    if len(secret) < MIN_SECRET_CHARACTERS:
        raise SettingsError(f"{flag}: {file} holds fewer than {MIN_SECRET_CHARACTERS} characters")
    return secret

"""Process settings from flags and environment variables, validated at start."""

from __future__ import annotations

import argparse
import os
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from bergamotchute_model.identifiers import Address

ParsedValue = TypeVar("ParsedValue")

ENVIRONMENT_PREFIX = "BERGAMOTCHUTE_"
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
MIN_SECRET_LENGTH = 16
DEFAULT_DRAIN_BOUND_S = 600.0
DEFAULT_LAME_DUCK_S = 5.0
EVENT_LOOPS = ("asyncio", "trio")
LOG_LEVELS = ("debug", "info", "warning", "error", "none")


@dataclass(frozen=True)
class ProcessSettings:
    """Settings common to all processes.

    :param name: the name of the process, unique in the deployment.
    :param peer_listen: the address on which the process accepts links from other processes.
    :param relays: the addresses of the relays; the process connects to any one of them.
    :param cluster_token: the secret that all processes of the deployment share.
    :param drain_bound_s: how long a planned stop waits for work in flight, in seconds.
    :param event_file: the file to which events are appended; ``None`` to write them to stderr
        only.
    :param log_level: the lowest level written to stderr; ``none`` to write nothing.
    :param event_loop: the event loop that runs the tasks, ``asyncio`` or ``trio``.
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
    """Settings of an entry.

    :param listen: the address for callers and operators.
    :param data_folder: the folder for the state of the voter that the entry hosts; ``None`` for
        no voter.
    :param voters: the peer addresses of the initial voters, including this entry's own if it
        hosts one.
    :param bootstrap: whether to found a new control group with these voters; only for the very
        first start.
    :param relay: whether the entry hosts a relay.
    :param admin_token: the operators' secret.
    :param lame_duck_s: how long a stopping entry still accepts new work, in seconds, while
        callers switch to other addresses.
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
    """Settings of an agent.

    :param endpoint_url: the URL on which the endpoint serves HTTP.
    :param services: the services that the endpoint can serve.
    :param slots: the number of requests that the endpoint runs concurrently.
    :param honours_fencing: whether the endpoint itself rejects outdated fencing numbers.
    :param group: the rank group of the endpoint; empty for none.
    :param rank: the rank of the endpoint in its group; -1 for none.
    :param listen: the address that serves health, metrics and events; ``None`` to serve none.
    """

    endpoint_url: str
    services: tuple[str, ...]
    slots: int
    honours_fencing: bool
    group: str
    rank: int
    listen: Address | None


class SettingsError(Exception):
    """A setting is missing or invalid; the message names its flag."""


def read_settings(
    arguments: Sequence[str], environment: Mapping[str, str] | None = None
) -> EntrySettings | AgentSettings:
    """Return the settings from flags and environment variables; flags take precedence.

    :raises SettingsError: when a setting is missing or invalid.
    :raises SystemExit: when ``--help`` is given or a flag is unknown.
    """
    parser = build_parser(os.environ if environment is None else environment)
    values = parser.parse_args(arguments)
    return (
        _parse_entry_settings(values) if values.role == "entry" else _parse_agent_settings(values)
    )


def build_parser(environment: Mapping[str, str]) -> argparse.ArgumentParser:
    """Return the command-line parser, with defaults from the environment."""
    parser = argparse.ArgumentParser(
        prog="bergamotchuted",
        description="The processes of bergamotchute. Every flag can be given as an environment "
        f"variable: {ENVIRONMENT_PREFIX} and its name in capitals, as in "
        f"{ENVIRONMENT_PREFIX}PEER_LISTEN.",
    )
    roles = parser.add_subparsers(dest="role", required=True, metavar="ROLE")
    entry = roles.add_parser(
        "entry", help="accept callers' requests; optionally host a voter and a relay"
    )
    agent = roles.add_parser("agent", help="run beside one endpoint and execute attempts on it")
    for role in (entry, agent):
        _add_process_flags(_FlagAdder(role, environment))
    _add_entry_flags(_FlagAdder(entry, environment))
    _add_agent_flags(_FlagAdder(agent, environment))
    return parser


@dataclass(frozen=True)
class _FlagAdder:
    """Adds flags whose defaults come from the environment."""

    parser: argparse.ArgumentParser
    environment: Mapping[str, str]

    def add(self, flag: str, text: str, metavar: str, default: str | None = None) -> None:
        """Add a flag that takes a value."""
        variable = ENVIRONMENT_PREFIX + flag.lstrip("-").replace("-", "_").upper()
        value = self.environment.get(variable, default)
        default_text = "" if default in (None, "") else f" (default: {default})"
        self.parser.add_argument(flag, default=value, metavar=metavar, help=text + default_text)

    def add_switch(self, flag: str, text: str) -> None:
        """Add a flag without a value; its environment variable is ``1`` or ``0``."""
        variable = ENVIRONMENT_PREFIX + flag.lstrip("-").replace("-", "_").upper()
        value = self.environment.get(variable, "0")
        if value not in ("0", "1"):
            raise SettingsError(f"{variable}: expected 0 or 1, found {value!r}")
        self.parser.add_argument(flag, action="store_true", default=value == "1", help=text)


def _add_process_flags(flags: _FlagAdder) -> None:
    flags.add("--name", "name of this process, unique in the deployment", "NAME")
    flags.add("--vm", "name of the VM of this process (default: the value of --name)", "NAME")
    flags.add("--zone", "availability zone of this process", "NAME")
    flags.add("--peer-listen", "address for links from other processes", "HOST:PORT")
    flags.add("--relays", "peer addresses of the relays", "HOST:PORT,...")
    flags.add("--cluster-token-file", "file with the secret that all processes share", "FILE")
    flags.add(
        "--drain-bound",
        "longest time that a planned stop waits for requests",
        "SECONDS",
        str(DEFAULT_DRAIN_BOUND_S),
    )
    flags.add("--event-file", "file to which numbered events are appended", "FILE")
    flags.add("--event-loop", "asyncio, or trio (slower, for comparison)", "NAME", "asyncio")
    flags.add(
        "--log-level", f"lowest level written to stderr: {', '.join(LOG_LEVELS)}", "LEVEL", "info"
    )


def _add_entry_flags(flags: _FlagAdder) -> None:
    flags.add("--listen", "address for callers and operators", "HOST:PORT")
    flags.add("--data", "folder for the state of a voter; without it no voter is hosted", "FOLDER")
    flags.add(
        "--voters", "peer addresses of the initial voters, this one included", "HOST:PORT,..."
    )
    flags.add_switch("--bootstrap", "found a new control group; only at the very first start")
    flags.add_switch("--relay", "host a relay")
    flags.add("--admin-token-file", "file with the operators' secret", "FILE")
    flags.add(
        "--lame-duck",
        "how long a planned stop still accepts new work, while callers switch to other addresses",
        "SECONDS",
        str(DEFAULT_LAME_DUCK_S),
    )


def _add_agent_flags(flags: _FlagAdder) -> None:
    flags.add("--endpoint-url", "URL on which the endpoint serves HTTP", "URL")
    flags.add("--services", "services that the endpoint can serve", "NAME,...")
    flags.add("--slots", "number of requests that the endpoint runs concurrently", "NUMBER", "8")
    flags.add_switch("--honours-fencing", "the endpoint itself rejects outdated fencing numbers")
    flags.add("--group", "rank group of the endpoint", "NAME", "")
    flags.add("--rank", "rank of the endpoint in its group", "NUMBER", "-1")
    flags.add("--listen", "address for health, metrics and events", "HOST:PORT")


def _parse_process_values(values: argparse.Namespace) -> dict[str, Any]:
    name = _parse_name("--name", values.name)
    return {
        "name": name,
        "vm": _parse_name("--vm", values.vm or name),
        "availability_zone": _parse_name("--zone", values.zone),
        "peer_listen": _parse_address("--peer-listen", values.peer_listen),
        "relays": _parse_addresses("--relays", values.relays),
        "cluster_token": _read_secret("--cluster-token-file", values.cluster_token_file),
        "drain_bound_s": _parse_number("--drain-bound", values.drain_bound, 0, 86_400),
        "event_file": Path(values.event_file) if values.event_file else None,
        "event_loop": _parse_choice("--event-loop", values.event_loop, EVENT_LOOPS),
        "log_level": _parse_choice("--log-level", values.log_level, LOG_LEVELS),
    }


def _parse_entry_settings(values: argparse.Namespace) -> EntrySettings:
    data_folder = Path(values.data) if values.data else None
    voters = _parse_addresses("--voters", values.voters) if values.voters else ()
    if data_folder is not None and not voters:
        raise SettingsError("--voters: required with --data")
    if values.bootstrap and data_folder is None:
        raise SettingsError("--bootstrap: requires --data")
    if values.relay and not voters:
        raise SettingsError("--voters: required with --relay")
    return EntrySettings(
        **_parse_process_values(values),
        listen=_parse_address("--listen", values.listen),
        data_folder=data_folder,
        voters=voters,
        bootstrap=values.bootstrap,
        relay=values.relay,
        admin_token=_read_secret("--admin-token-file", values.admin_token_file),
        lame_duck_s=_parse_number("--lame-duck", values.lame_duck, 0, 3_600),
    )


def _parse_agent_settings(values: argparse.Namespace) -> AgentSettings:
    url = _require_value("--endpoint-url", values.endpoint_url)
    if not re.fullmatch(r"https?://[^/\s]+/?", url):
        raise SettingsError(f"--endpoint-url: expected http://HOST:PORT, found {url!r}")
    services = _require_value("--services", values.services).split(",")
    return AgentSettings(
        **_parse_process_values(values),
        endpoint_url=url.rstrip("/"),
        services=tuple(_parse_name("--services", service) for service in services),
        slots=int(_parse_number("--slots", values.slots, 1, 100_000)),
        honours_fencing=values.honours_fencing,
        group=_parse_name("--group", values.group) if values.group else "",
        rank=int(_parse_number("--rank", values.rank, -1, 65_535)),
        listen=_parse_address("--listen", values.listen) if values.listen else None,
    )


def _require_value(flag: str, value: str | None) -> str:
    if not value:
        raise SettingsError(f"{flag}: required, but not given")
    return value


def _parse_name(flag: str, value: str | None) -> str:
    text = _require_value(flag, value)
    if not NAME_PATTERN.fullmatch(text):
        raise SettingsError(f"{flag}: expected 1 to 63 of a-z, 0-9, '.' and '-', found {text!r}")
    return text


def _parse_address(flag: str, value: str | None) -> Address:
    return _parse_value(flag, _require_value(flag, value), Address.parse)


def _parse_addresses(flag: str, value: str | None) -> tuple[Address, ...]:
    parts = _require_value(flag, value).split(",")
    return tuple(_parse_value(flag, part.strip(), Address.parse) for part in parts)


def _parse_number(flag: str, value: str, min_value: float, max_value: float) -> float:
    number = _parse_value(flag, value, float)
    if not min_value <= number <= max_value:
        raise SettingsError(f"{flag}: expected {min_value} to {max_value}, found {value}")
    return number


def _parse_choice(flag: str, value: str, allowed: Sequence[str]) -> str:
    if value not in allowed:
        raise SettingsError(f"{flag}: expected one of {', '.join(allowed)}, found {value!r}")
    return value


def _parse_value(flag: str, value: str, parse: Callable[[str], ParsedValue]) -> ParsedValue:
    try:
        return parse(value)
    except ValueError as error:
        raise SettingsError(f"{flag}: {error}") from error


def _read_secret(flag: str, path: str | None) -> str:
    """Read a secret from a file, which keeps it out of the process list and the environment."""
    file = Path(_require_value(flag, path))
    try:
        secret = file.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{flag}: can't read {file}: {error}") from error
    if len(secret) < MIN_SECRET_LENGTH:
        raise SettingsError(f"{flag}: {file} holds fewer than {MIN_SECRET_LENGTH} characters")
    return secret

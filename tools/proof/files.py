"""The operator files of a scenario."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable

from tools.proof.scenario import Call, Scenario

BASE = "base"
OPERATIONS = "operations"
DEFAULT_PRIORITY = 5
LONGEST_S = 3600


def team_token(team: str) -> str:
    """Return a team's bearer token."""
    return f"{team}-token-0123456789abcdef"


def _text(file: str, number: int, **parts: object) -> str:
    """Return an operator file; JSON is YAML too."""
    return json.dumps({"file": file, "number": number, **parts}, indent=1)


def _team(name: str, services: list[str], priority: str) -> dict[str, object]:
    return {
        "name": name,
        "token_sha256": hashlib.sha256(team_token(name).encode()).hexdigest(),
        "services": services,
        "priority": priority,
        "requests_per_second": 100000,
        "burst": 100000,
        "max_concurrent": 100000,
    }


def base_file(scenario: Scenario) -> str:
    """Return services, priorities and every team that calls."""
    services = [
        {
            "name": group.service,
            "kind": "plain" if group.plain else "model",
            "max_deadline_s": LONGEST_S,
            **({} if group.plain else {"model": group.service}),
        }
        for group in scenario.runners
    ]
    names = [group.service for group in scenario.runners]
    calls = [step.action for step in scenario.steps if isinstance(step.action, Call)]
    levels = {call.team: call.priority for call in calls}
    teams = [_team(name, names, f"level-{levels[name]}") for name in sorted(levels)]
    priorities = [{"name": f"level-{n}", "level": n} for n in sorted(set(levels.values()))]
    return _text(BASE, 1, services=services, teams=teams, priorities=priorities)


def operations_file(number: int, drained: Iterable[str]) -> str:
    """Return the file that drains these endpoints and no others."""
    return _text(OPERATIONS, number, drains=[{"endpoint": name} for name in sorted(drained)])


def variant_file(name: str, number: int, variant: str, scenario: Scenario) -> str:
    """Return a file that differs by its variant in one team's name."""
    services = [group.service for group in scenario.runners]
    team = _team(f"{name}-{variant or number}", services, "")
    return _text(name, number, teams=[team])

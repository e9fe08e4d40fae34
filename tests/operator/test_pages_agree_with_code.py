"""The operators' pages name every flag, key, code and command that there is."""

from __future__ import annotations

import argparse
import dataclasses
import re
from pathlib import Path

from bergamotchute_cli.__main__ import build_parser as build_command_parser
from bergamotchute_daemon.settings import build_parser
from bergamotchute_model import operator_file
from bergamotchute_model.commands import ApplyOutcome
from bergamotchute_model.operator_file import OperatorFile
from bergamotchute_model.problem import ProblemCode

DOCS = Path(__file__).parents[2] / "docs"


def page(name: str) -> str:
    return (DOCS / name).read_text(encoding="utf-8")


def subcommands(parser: argparse.ArgumentParser) -> dict[str, argparse.ArgumentParser]:
    actions = [a for a in parser._actions if isinstance(a, argparse._SubParsersAction)]
    return dict(actions[0].choices)


def flags(parser: argparse.ArgumentParser) -> set[str]:
    found = {text for action in parser._actions for text in action.option_strings}
    return {text for text in found if text.startswith("--")} - {"--help"}


def test_every_flag_of_a_process_is_told_and_no_other() -> None:
    section = page("OPERATIONS.md").partition("## Settings")[2].partition("## Founding")[0]
    rows = "\n".join(line for line in section.splitlines() if line.startswith("|"))
    told = set(re.findall(r"(?<=`)--[a-z-]+", rows))
    assert told == set().union(*(flags(role) for role in subcommands(build_parser({})).values()))


def test_every_key_of_a_file_is_told() -> None:
    text = page("CONFIGURATION.md")
    classes = [one for one in vars(operator_file).values() if dataclasses.is_dataclass(one)]
    for one in [*classes, OperatorFile]:
        if one.__module__ != operator_file.__name__:
            continue
        for field in dataclasses.fields(one):
            assert f"`{field.name}`" in text or f"\n{field.name}:" in text, (one, field.name)


def test_every_code_and_outcome_is_told() -> None:
    text = page("API.md")
    for code in [*ProblemCode, *ApplyOutcome]:
        assert f"`{code.value}`" in text


def test_every_command_teaches() -> None:
    for name, command in subcommands(build_command_parser()).items():
        assert f"bergamotchute {name}" in command.format_help()

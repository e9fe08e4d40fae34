"""The operators' documentation covers every flag, key and code, and help texts show examples."""

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


def read_page(name: str) -> str:
    return (DOCS / name).read_text(encoding="utf-8")


def find_subcommands(parser: argparse.ArgumentParser) -> dict[str, argparse.ArgumentParser]:
    actions = [a for a in parser._actions if isinstance(a, argparse._SubParsersAction)]
    return dict(actions[0].choices)


def find_flags(parser: argparse.ArgumentParser) -> set[str]:
    found = {text for action in parser._actions for text in action.option_strings}
    return {text for text in found if text.startswith("--")} - {"--help"}


def test_documented_process_flags_are_those_that_exist() -> None:
    section = read_page("OPERATIONS.md").partition("## Settings")[2].partition("## Founding")[0]
    rows = "\n".join(line for line in section.splitlines() if line.startswith("|"))
    documented = set(re.findall(r"(?<=`)--[a-z-]+", rows))
    assert documented == set().union(
        *(find_flags(role) for role in find_subcommands(build_parser({})).values())
    )


def test_every_file_key_is_documented() -> None:
    text = read_page("CONFIGURATION.md")
    classes = [value for value in vars(operator_file).values() if dataclasses.is_dataclass(value)]
    for cls in [*classes, OperatorFile]:
        if cls.__module__ != operator_file.__name__:
            continue
        for field in dataclasses.fields(cls):
            assert f"`{field.name}`" in text or f"\n{field.name}:" in text, (cls, field.name)


def test_every_problem_code_and_outcome_is_documented() -> None:
    text = read_page("API.md")
    for code in [*ProblemCode, *ApplyOutcome]:
        assert f"`{code.value}`" in text


def test_every_command_help_shows_an_example() -> None:
    for name, command in find_subcommands(build_command_parser()).items():
        assert f"bergamotchute {name}" in command.format_help()

"""The example deployments come into force as they stand, in the order that apply finds."""

from __future__ import annotations

import hashlib
from pathlib import Path

import pytest

from bergamotchute_cli.apply_order import find_order
from bergamotchute_cli.local_files import parse_all, read_local_files
from bergamotchute_model.commands import ApplyFile, ApplyOutcome, FileApplied
from bergamotchute_model.configuration import ConfigurationReader, merge
from bergamotchute_model.parsed_file import parse_file
from bergamotchute_state.control_state import ControlState

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("folder", "service", "order_service"),
    [("piegatura", "booklets", "print-orders"), ("hljomsmidjan", "drafting", "order-desk")],
)
def test_an_example_comes_into_force_and_is_shown_unchanged(
    folder: str, service: str, order_service: str
) -> None:
    files = read_local_files([str(EXAMPLES / folder)])
    parsed = parse_all(files).unwrap()
    state = ControlState()
    for revision, index in enumerate(find_order(parsed, []), start=1):
        file, content = files[index], parsed[index].content
        command = ApplyFile(content.file, content.number, file.text, file.digest)
        result = state.apply(command, revision)
        assert result == FileApplied(ApplyOutcome.ACCEPTED, revision, 1)
    shown = {file.text for file in state.files.in_force.values()}
    assert shown == {file.text for file in files}
    present = ConfigurationReader().read(state.files.in_force.values()).unwrap()
    assert len(present.teams) == 10
    assert present.rank_groups[0].ranks == 16
    assert present.service_by_name[service].is_idempotent("GET")
    assert not present.service_by_name[order_service].is_idempotent("POST")
    token = f"example-token-{folder}-archive"
    assert hashlib.sha256(token.encode()).hexdigest() in present.team_by_token_sha256


def test_what_is_taken_away_goes_after_what_refers_to_it() -> None:
    folder = EXAMPLES / "piegatura"
    in_force = parse_all(read_local_files([str(folder)])).unwrap()
    texts = {file.content.file: f"file: {file.content.file}\nnumber: 2\n" for file in in_force}
    emptied = [parse_file(name, text).unwrap() for name, text in texts.items()]
    order = [emptied[index].content.file for index in find_order(emptied, in_force)]
    assert order.index("services") > max(order.index(name) for name in ("teams", "changes"))


def test_the_smallest_example_is_valid_by_itself() -> None:
    parsed = parse_all(read_local_files([str(EXAMPLES.parent / "docs" / "examples")])).unwrap()
    assert merge(parsed).unwrap().service_by_model["writer"].name == "drafts"

"""The example deployments are accepted unchanged, in the order that ``apply`` determines."""

from __future__ import annotations

import hashlib
from pathlib import Path

import pytest

from bergamotchute_cli.apply_order import find_apply_order
from bergamotchute_cli.local_files import parse_files, read_local_files
from bergamotchute_model.commands import ApplyFile, ApplyOutcome, FileApplied
from bergamotchute_model.configuration import ConfigurationReader, merge_files
from bergamotchute_model.parsed_file import parse_file
from bergamotchute_state.control_state import ControlState

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("folder", "service", "order_service"),
    [("piegatura", "booklets", "print-orders"), ("hljomsmidjan", "drafting", "order-desk")],
)
def test_example_is_accepted_and_returned_unchanged(
    folder: str, service: str, order_service: str
) -> None:
    files = read_local_files([str(EXAMPLES / folder)])
    parsed = parse_files(files).unwrap()
    state = ControlState()
    for revision, index in enumerate(find_apply_order(parsed, []), start=1):
        file, content = files[index], parsed[index].content
        command = ApplyFile(content.file, content.number, file.text, file.digest)
        result = state.apply(command, revision)
        assert result == FileApplied(ApplyOutcome.ACCEPTED, revision, 1)
    stored_texts = {file.text for file in state.files.in_force.values()}
    assert stored_texts == {file.text for file in files}
    current = ConfigurationReader().read(state.files.in_force.values()).unwrap()
    assert len(current.teams) == 10
    assert current.rank_groups[0].ranks == 16
    assert current.service_by_name[service].is_idempotent("GET")
    assert not current.service_by_name[order_service].is_idempotent("POST")
    token = f"example-token-{folder}-archive"
    assert hashlib.sha256(token.encode()).hexdigest() in current.team_by_token_sha256


def test_removed_definitions_are_applied_after_their_references() -> None:
    folder = EXAMPLES / "piegatura"
    in_force = parse_files(read_local_files([str(folder)])).unwrap()
    texts = {file.content.file: f"file: {file.content.file}\nnumber: 2\n" for file in in_force}
    emptied = [parse_file(name, text).unwrap() for name, text in texts.items()]
    order = [emptied[index].content.file for index in find_apply_order(emptied, in_force)]
    assert order.index("services") > max(order.index(name) for name in ("teams", "changes"))


def test_smallest_example_is_valid_on_its_own() -> None:
    parsed = parse_files(read_local_files([str(EXAMPLES.parent / "docs" / "examples")])).unwrap()
    assert merge_files(parsed).unwrap().service_by_model["writer"].name == "drafts"

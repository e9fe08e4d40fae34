"""Commands against real processes and sockets on the loopback interface."""

from __future__ import annotations

import filecmp
from pathlib import Path

import pytest
from tools.deployment import Deployment, EndpointPlan
from tools.fleet import Fleet

from bergamotchute_cli.__main__ import main

EXAMPLE_FOLDER = Path(__file__).parents[2] / "examples" / "piegatura"
ORDERS_PATH = "/v1/services/print-orders/orders"
PATIENCE_OPTION = ("--patience", "30")


@pytest.mark.processes
def test_example_from_apply_to_a_request_and_its_retry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfdbinary: pytest.CaptureFixture[bytes]
) -> None:
    (tmp_path / "team.token").write_text("example-token-piegatura-print-desk")
    with Fleet(tmp_path / "logs") as fleet:
        deployment = Deployment(fleet, tmp_path)
        desk_endpoint = EndpointPlan("desk", ("print-orders",), 1, plain=True)
        deployment.plan(("milano-a",), voters=1, others=0, endpoints=[desk_endpoint])
        deployment.start_all()
        monkeypatch.setenv("BERGAMOTCHUTE_ENTRIES", deployment.entries[0].address)
        monkeypatch.setenv("BERGAMOTCHUTE_ADMIN_TOKEN_FILE", str(tmp_path / "admin.token"))
        monkeypatch.setenv("BERGAMOTCHUTE_TOKEN_FILE", str(tmp_path / "team.token"))

        assert main(["apply", str(EXAMPLE_FOLDER), *PATIENCE_OPTION]) == 0
        assert main(["show", "--folder", str(tmp_path / "shown"), *PATIENCE_OPTION]) == 0
        comparison = filecmp.dircmp(EXAMPLE_FOLDER, tmp_path / "shown")
        assert not comparison.diff_files + comparison.left_only + comparison.right_only
        assert main(["apply", str(tmp_path / "shown"), *PATIENCE_OPTION]) == 0
        assert main(["diff", str(tmp_path / "shown"), *PATIENCE_OPTION]) == 0

        order = ["send", ORDERS_PATH, "--data", '{"boxes": 1}', *PATIENCE_OPTION]
        assert main(order) == 1
        capfdbinary.readouterr()
        assert main([*order, "--key", "one"]) == 0
        first_output = capfdbinary.readouterr().out
        assert main([*order, "--key", "one"]) == 0
        assert capfdbinary.readouterr().out == first_output != b""
        journal = deployment.journal("desk-1").read_text()
        assert journal.count('"event": "start"') == 1
    assert fleet.left() == []

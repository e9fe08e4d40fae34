"""Each role starts without the modules of the others.

After a power loss callers wait for the processes to start, and unneeded imports delay that.
"""

from __future__ import annotations

import subprocess
import sys

import pytest

FILE_PARSING = "bergamotchute_model.parsed_file"
CONSENSUS = "bergamotchute_consensus.messages"
ENTRY = "bergamotchute_daemon.direct.direct_forwarder"
AGENT = "bergamotchute_daemon.ranks.rank_commander"
PYDANTIC = "pydantic"
ATTEMPTS = "bergamotchute_model.attempt_messages"

ROLES = {
    "control": ("_run_control", (PYDANTIC, FILE_PARSING, "yaml", "numpy", ENTRY, AGENT)),
    "entry": ("_run_entry", (PYDANTIC, FILE_PARSING, "yaml", "numpy", CONSENSUS, AGENT, ATTEMPTS)),
    "agent": ("_run_agent", (PYDANTIC, FILE_PARSING, "yaml", "numpy", CONSENSUS, ENTRY, ATTEMPTS)),
}

START_ROLE = """
import sys
from unittest.mock import patch
from bergamotchute_platform import __main__ as platform_main
from bergamotchute_daemon import node_runner
from bergamotchute_daemon.node_settings import ListenSettings, NodeSettings

class CompositionReached(Exception):
    pass

def raise_composition_reached(*_, **__):
    raise CompositionReached

settings = NodeSettings(
    name="one", availability_zone="north", host="127.0.0.1", link_port=1, seeds=("127.0.0.1:1",),
    found=False, disks_to_lose=1, heartbeat_ms=1200, stop_s=8, retry_ratio=0.2, retry_slack=90,
    data_folder=sys.argv[2], endpoint="127.0.0.1:2",
    listen=ListenSettings(callers="127.0.0.1:3", control="127.0.0.1:4"),
)

async def main():
    with patch.object(node_runner.EventLog, "emit", raise_composition_reached):
        try:
            await getattr(platform_main, sys.argv[1])(None, settings)
        except CompositionReached:
            pass

import anyio
anyio.run(main)
print(" ".join(sys.modules))
"""


@pytest.mark.parametrize("role", sorted(ROLES))
def test_a_role_starts_without_the_modules_of_others(role: str, tmp_path: object) -> None:
    function, needless_modules = ROLES[role]
    done = subprocess.run(
        [sys.executable, "-c", START_ROLE, function, str(tmp_path)],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": ":".join(path for path in sys.path if path)},
    )
    loaded_modules = set(done.stdout.split())
    assert "bergamotchute_daemon.node_composition_root" in loaded_modules
    assert not loaded_modules & set(needless_modules)

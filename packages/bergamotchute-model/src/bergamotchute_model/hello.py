"""The handshake message of a link."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from bergamotchute_model.membership import ProcessRole


@dataclass(frozen=True)
class Hello:
    """The first message in each direction on every link.

    :param process: name of the sender.
    :param incarnation: identifies the run of the sender; new at each start.
    """

    process: str
    role: ProcessRole
    incarnation: str
    protocol: int = 1
    kind: Literal["hello"] = "hello"

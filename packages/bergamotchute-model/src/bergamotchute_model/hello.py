"""How a process introduces itself on a link."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from bergamotchute_model.membership import Role


@dataclass(frozen=True)
class Hello:
    """The first message each way on every link.

    :param process: the sender's name.
    :param incarnation: fresh at each start of the sender.
    """

    process: str
    role: Role
    incarnation: str
    protocol: int = 1
    kind: Literal["hello"] = "hello"

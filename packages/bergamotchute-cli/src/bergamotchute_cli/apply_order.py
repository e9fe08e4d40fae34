"""The order in which several files can come into force one after another."""

from __future__ import annotations

from collections.abc import Sequence

from bergamotchute_cli.local_files import check_together
from bergamotchute_model.parsed_file import ParsedFile


def find_order(files: Sequence[ParsedFile], in_force: Sequence[ParsedFile]) -> list[int]:
    """Return positions in ``files`` so that each file, in turn, fits those in force before it.

    Definitions so come before what refers to them, and references go before what they name goes.
    Files that fit at no place come last, as they were given; the first of them will be refused.
    """
    order: list[int] = []
    waiting = list(range(len(files)))
    present = list(in_force)
    while waiting:
        fitting = [index for index in waiting if not check_together([files[index]], present)]
        if not fitting:
            return order + waiting
        chosen = fitting[0]
        order.append(chosen)
        waiting.remove(chosen)
        name = files[chosen].content.file
        present = [file for file in present if file.content.file != name]
        present.append(files[chosen])
    return order

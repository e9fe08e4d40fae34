"""Find an order in which several files can be applied one after another."""

from __future__ import annotations

from collections.abc import Sequence

from bergamotchute_cli.local_files import find_combined_faults
from bergamotchute_model.parsed_file import ParsedFile


def find_apply_order(files: Sequence[ParsedFile], in_force: Sequence[ParsedFile]) -> list[int]:
    """Return indices into ``files`` such that each file is valid with those in force by then.

    Definitions are added before the references to them, and references are removed before their
    definitions. Files that are valid at no position come last, in the given order; the first of
    these will be refused.
    """
    order: list[int] = []
    waiting = list(range(len(files)))
    current_files = list(in_force)
    while waiting:
        applicable = [
            index for index in waiting if not find_combined_faults([files[index]], current_files)
        ]
        if not applicable:
            return order + waiting
        chosen = applicable[0]
        order.append(chosen)
        waiting.remove(chosen)
        name = files[chosen].content.file
        current_files = [file for file in current_files if file.content.file != name]
        current_files.append(files[chosen])
    return order

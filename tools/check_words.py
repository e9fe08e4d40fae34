"""Keep the words of the repository those of docs/GLOSSARY.md: ``python -m tools.check_words``."""

from __future__ import annotations

import re
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
GLOSSARY = ROOT / "docs" / "GLOSSARY.md"
PLACES = ("packages/*/src/**/*.py", "tools/**/*.py", "tests/**/*.py", "docs/**/*.md", "*.md")
SOURCES = "packages/*/src/**/*.py"
# Tests of the platform's adapter hold messages in the platform's words.
ADAPTER_TESTS = frozenset((ROOT / "tests" / "adapter").glob("*.py"))
EXEMPT = frozenset({GLOSSARY, Path(__file__).resolve()}) | ADAPTER_TESTS
LIBRARY_NAMES = ("anyio_backend", "backend=settings.event_loop", "backend_options")

_ROW = re.compile(r"^\| `([a-z_]+)` \| .* \|([^|]*)\|$")
_QUOTED = re.compile(r"`([^`]+)`")
_CAMEL = re.compile(r"(?<=[a-z0-9])(?=[A-Z])|[_\-]")


@dataclass(frozen=True)
class Words:
    """What the glossary says.

    :param used: words that the code uses.
    :param never: words in place of which it uses them.
    """

    used: tuple[str, ...]
    never: tuple[str, ...]


def read_glossary(text: str) -> Words:
    """Return the words of the glossary's first table."""
    rows = [row for line in text.splitlines() if (row := _ROW.match(line))]
    used = tuple(row.group(1) for row in rows)
    never = tuple(word for row in rows for word in _QUOTED.findall(row.group(2)))
    return Words(used, never)


def plain_words(text: str) -> str:
    """Return a text in lower case, with its names taken apart into words.

    Names that libraries prescribe are left out.
    """
    for name in LIBRARY_NAMES:
        text = text.replace(name, "")
    return _CAMEL.sub(" ", text).lower()


def find_unwanted(text: str, never: tuple[str, ...]) -> Iterator[tuple[int, str]]:
    """Yield line number and word wherever a word stands, alone or within a name."""
    for number, line in enumerate(text.splitlines(), start=1):
        plain = plain_words(line)
        for word in never:
            if re.search(rf"\b{re.escape(word)}s?\b", plain):
                yield number, word


def find_unused(texts: list[str], used: tuple[str, ...]) -> list[str]:
    """Return the words that stand in none of the texts."""
    everything = plain_words("\n".join(texts))
    return [
        word
        for word in used
        if not re.search(rf"\b{word.replace('_', '[ _]')}(s|es)?\b", everything)
    ]


def main() -> int:
    """Check all places; return the exit code."""
    words = read_glossary(GLOSSARY.read_text(encoding="utf-8"))
    found = 0
    for path in sorted({path for place in PLACES for path in ROOT.glob(place)} - EXEMPT):
        for line, word in find_unwanted(path.read_text(encoding="utf-8"), words.never):
            print(f"{path.relative_to(ROOT)}:{line}: {word!r}: see docs/GLOSSARY.md")
            found += 1
    sources = [path.read_text(encoding="utf-8") for path in ROOT.glob(SOURCES)]
    for word in find_unused(sources, words.used):
        print(f"docs/GLOSSARY.md: {word!r} is used in no package")
        found += 1
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())

"""The glossary check finds unwanted words, also within names, and unused glossary words."""

from __future__ import annotations

from tools.check_words import find_unused, find_unwanted, read_glossary

GLOSSARY_PAGE = """| word | meaning | never |
|---|---|---|
| `team` | callers that share a token | `lodger` `day visitor` |
| `lease` | a right that ends | |
| `availability_zone` | fails as one | |
"""


def test_unwanted_words_are_found_in_names_and_prose() -> None:
    glossary = read_glossary(GLOSSARY_PAGE)
    assert glossary.used == ("team", "lease", "availability_zone")
    assert glossary.never == ("lodger", "day visitor")
    text = "lodgers = 1\nclass LodgerTable: ...\nMAX_LODGER = 2\nthe day visitor\ndislodgers\n"
    assert [line for line, _ in find_unwanted(text, glossary.never)] == [1, 2, 3, 4]


def test_unused_glossary_word_is_reported() -> None:
    glossary = read_glossary(GLOSSARY_PAGE)
    assert find_unused(["by_team = {}", "availability_zone: str"], glossary.used) == ["lease"]

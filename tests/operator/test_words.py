"""The check of words finds unwanted ones within names, and words that nobody uses."""

from __future__ import annotations

from tools.check_words import find_unused, find_unwanted, read_glossary

PAGE = """| word | meaning | never |
|---|---|---|
| `team` | callers that share a token | `lodger` `day visitor` |
| `lease` | a right that ends | |
| `availability_zone` | fails as one | |
"""


def test_words_are_found_within_names_and_in_prose() -> None:
    words = read_glossary(PAGE)
    assert words.used == ("team", "lease", "availability_zone")
    assert words.never == ("lodger", "day visitor")
    text = "lodgers = 1\nclass LodgerTable: ...\nMAX_LODGER = 2\nthe day visitor\ndislodgers\n"
    assert [line for line, _ in find_unwanted(text, words.never)] == [1, 2, 3, 4]


def test_a_word_that_no_package_uses_is_told() -> None:
    words = read_glossary(PAGE)
    assert find_unused(["by_team = {}", "availability_zone: str"], words.used) == ["lease"]

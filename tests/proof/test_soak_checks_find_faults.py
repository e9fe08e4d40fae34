"""The checks of the soak find what breaks each promise."""

from __future__ import annotations

from collections import Counter

import pytest
from tools.soak.history import (
    STREAM_EVENTS,
    CallerAnswer,
    ConfigurationPut,
    ConfigurationRead,
    History,
    VersionInForce,
    configuration_digest,
    find_late_configurations,
    find_violations,
    plain_body,
    stream_event,
)

ORDER = CallerAnswer("o1", "order", 1.0, 200, True, "seal", plain_body("o1"))
STREAM_BODY = b"".join(stream_event("s1", number) for number in range(1, STREAM_EVENTS + 1))
STREAM = CallerAnswer("s1", "stream", 1.0, 200, True, "seal", STREAM_BODY)
REFUSED = CallerAnswer("o2", "order", 1.0, 503, True, "", b"full")


def sound_history() -> History:
    return History(
        answers=[ORDER, STREAM, REFUSED],
        runs=Counter({"o1": 1, "s1": 2}),
        puts={3: ConfigurationPut(0.5, "three"), 5: ConfigurationPut(1.2, "five")},
        acknowledged={3: 1.0, 5: 2.0},
        refused_versions={4},
        reads=[
            ConfigurationRead("control-0", 1.3, 1.4, 5, "five"),
            ConfigurationRead("control-1", 1.3, 2.1, 3, "three"),
            ConfigurationRead("control-1", 2.5, 2.6, 5, "five"),
        ],
        in_force=[VersionInForce("entry-0", 1, 3, 3.0), VersionInForce("entry-0", 1, 5, 3.5)],
        final_versions={"control-0": 5, "control-1": 5},
        recovered_at=1.5,
    )


def test_sound_history_breaks_a_promise() -> None:
    assert not find_violations(sound_history())


@pytest.mark.parametrize(
    "answer",
    [
        CallerAnswer("o1", "order", 1.0, 200, True, "seal", plain_body("o2")),
        CallerAnswer("o1", "order", 1.0, 200, True, "", plain_body("o1")),
        CallerAnswer("s1", "stream", 1.0, 200, True, "seal", STREAM_BODY[:-1]),
        CallerAnswer("s1", "stream", 1.0, 200, True, "seal", STREAM_BODY * 2),
    ],
)
def test_foreign_or_partial_answer_is_missed(answer: CallerAnswer) -> None:
    history = sound_history()
    history.answers.append(answer)
    assert len(find_violations(history)) == 1


def test_repeated_order_is_missed() -> None:
    history = sound_history()
    history.runs["o1"] = 2
    assert len(find_violations(history)) == 1


def test_refused_order_that_ran_is_missed() -> None:
    history = sound_history()
    history.runs["o2"] = 1
    assert len(find_violations(history)) == 1


@pytest.mark.parametrize("asked_at", [2.05, 1.45])
def test_read_older_than_an_acknowledged_or_read_version_is_missed(asked_at: float) -> None:
    history = sound_history()
    history.reads.append(ConfigurationRead("control-0", asked_at, 2.7, 3, "three"))
    assert len(find_violations(history)) == 1


@pytest.mark.parametrize(
    "read",
    [
        ConfigurationRead("control-0", 2.5, 2.6, 5, "three"),
        ConfigurationRead("control-0", 2.5, 2.6, 6, "six"),
        ConfigurationRead("control-0", 1.0, 1.1, 5, "five"),
    ],
    ids=["other content", "never put", "before it was put"],
)
def test_read_of_what_was_not_put_is_missed(read: ConfigurationRead) -> None:
    history = sound_history()
    history.reads.append(read)
    assert find_violations(history)


def test_digest_depends_on_the_order_of_fields() -> None:
    assert configuration_digest('{"a": 1, "b": [1, 2]}') == configuration_digest(
        b'{"b":[1,2],"a":1}'
    )
    assert configuration_digest('{"b": [1, 2]}') != configuration_digest('{"b": [2, 1]}')


def test_refusal_of_all_changes_after_the_recovery_is_missed() -> None:
    history = sound_history()
    history.recovered_at = 2.1
    assert len(find_violations(history)) == 1


def test_process_that_ended_by_itself_is_missed() -> None:
    history = sound_history()
    history.ended = ["control-2"]
    assert len(find_violations(history)) == 1


def test_regression_of_an_entry_is_missed() -> None:
    history = sound_history()
    history.in_force.append(VersionInForce("entry-0", 1, 3, 3.6))
    assert len(find_violations(history)) == 1
    history.in_force[-1] = VersionInForce("entry-0", 2, 3, 3.7)
    assert not find_violations(history), "a new process may begin with an older version"
    history.entry_starts["entry-0", 2] = 1.9
    assert not find_violations(history), "version 5 was acknowledged after its start"
    history.entry_starts["entry-0", 2] = 2.1
    assert len(find_violations(history)) == 1


def test_replaced_version_in_force_is_missed() -> None:
    history = sound_history()
    history.in_force = [VersionInForce("entry-0", 1, 3, 4.1)]
    history.recovered_at = 4.2
    assert not list(find_late_configurations(history)), "faults were not repaired yet"
    history.recovered_at = 1.5
    assert len(find_violations(history)) == 1
    history.in_force = [VersionInForce("entry-0", 1, 3, 3.9)]
    assert not find_violations(history)


def test_invalid_version_is_missed() -> None:
    history = sound_history()
    history.in_force.append(VersionInForce("entry-0", 2, 4, 3.8))
    history.acknowledged[4] = 2.9
    assert len(find_violations(history)) == 2


@pytest.mark.parametrize("final_versions", [{}, {"control-0": None}, {"control-0": 3}])
def test_lost_configuration_is_missed(final_versions: dict[str, int | None]) -> None:
    history = sound_history()
    history.final_versions |= final_versions
    if not final_versions:
        history.final_versions = {}
    assert len(find_violations(history)) == 1


def test_deadly_requests_after_the_fifth_crash_are_missed() -> None:
    history = sound_history()
    history.crashes = [1.0, 2.0, 3.0, 4.0, 5.0]
    history.deadly_arrivals = [*history.crashes, 7.0, 8.1, 9.0, 10.0]
    assert not find_violations(history)
    history.deadly_arrivals.append(11.0)
    assert len(find_violations(history)) == 1

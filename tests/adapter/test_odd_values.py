"""Odd values in what others write: one process must not take what another can't handle."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from adapter.test_configuration_format import VALID
from bergamotchute_daemon.direct.event_stream import EventStream
from bergamotchute_model.node_messages import HeartbeatsReceived, NodeMessage
from bergamotchute_platform._json_fields import MAX_NUMBER, number_list, read_object
from bergamotchute_platform.configuration_format import ConfigurationReader
from bergamotchute_platform.control_calls import read_heartbeat
from bergamotchute_platform.rank_calls import parse_counts, parse_experts, parse_status
from bergamotchute_platform.request_format import REQUEST_FORMAT
from bergamotchute_wire.http1_messages import RequestHead, ResponseHead
from bergamotchute_wire.message_codec import MessageCodec

HEARTBEAT: dict[str, Any] = {
    "service": "model",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "slots": 6,
    "state": "ready",
    "seq": 4,
    "born": 1775642652344,
}
REPORT: dict[str, Any] = {
    "group": {"name": "g0", "epoch": 1, "rank": 2, "state": "open"},
    "size": 8,
    "step": 812,
    "map": 3,
    "running": 4,
    "waiting": 1,
}
ODD_NUMBERS = [2**70, 10**400, -3, 1.5, "4", True, None, [], {}]
DEEP = b'{"a":' * 100_000 + b"1" + b"}" * 100_000


def with_value(plain: dict[str, Any], value: Any, *path: Any) -> bytes:
    changed = copy.deepcopy(plain)
    place: Any = changed
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    return json.dumps(changed).encode()


def assert_refused(read: Any, body: bytes) -> None:
    with pytest.raises(ValueError, match=r"\S"):
        read(body)


def read_runner_1(body: bytes) -> object:
    return read_heartbeat("runner-1", body)


@pytest.mark.parametrize(
    ("text", "counts"),
    [
        ("714,26", (714, 26)),
        (" 714 , 0", (714, 0)),
        ("", None),
        ("714", None),
        ("714,-1", None),
        ("714,1e3", None),
        ("1" * 16 + ",1", None),
    ],
)
def test_unreadable_token_counts_are_unknown(text: str, counts: tuple[int, int] | None) -> None:
    """A caller's odd header must neither fail its request nor count as a small one."""
    head = RequestHead("POST", "/", (("bergamotchute-token-counts", text),))
    assert REQUEST_FORMAT.read_request(head).token_counts == counts


@pytest.mark.parametrize("field", ["slots", "seq"])
@pytest.mark.parametrize("value", ODD_NUMBERS, ids=repr)
def test_heartbeat_with_an_odd_number_is_passed_on(field: str, value: Any) -> None:
    assert_refused(read_runner_1, with_value(HEARTBEAT, value, field))


@pytest.mark.parametrize("value", [each for each in ODD_NUMBERS if each is not None], ids=repr)
def test_heartbeat_with_an_odd_start_is_passed_on(value: Any) -> None:
    assert_refused(read_runner_1, with_value(HEARTBEAT, value, "born"))


@pytest.mark.parametrize("value", [2**70, -3, "4", True, [], {}, 600_001], ids=repr)
def test_heartbeat_with_an_odd_cold_time_is_passed_on(value: Any) -> None:
    assert_refused(read_runner_1, with_value(HEARTBEAT, value, "coldLeftMs"))


@pytest.mark.parametrize("slots", [0, 100_000, 2**53])
def test_heartbeat_with_impossible_slots_is_passed_on(slots: int) -> None:
    assert_refused(read_runner_1, with_value(HEARTBEAT, slots, "slots"))


@pytest.mark.parametrize(
    "address",
    [
        "a b:80",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1:٣",
        "10.0.0.256:80",
        "model.example:80",
        "10.0.0.1",
        ":80",
        "10.0.0.1\r\nx:80",
        "",
        17,
    ],
    ids=lambda each: repr(each)[:20],
)
def test_heartbeat_with_an_odd_address_is_passed_on(address: Any) -> None:
    assert_refused(read_runner_1, with_value(HEARTBEAT, address, "address"))


@pytest.mark.parametrize("text", ["\ud800", "x" * 10_000, "", 3], ids=lambda each: repr(each)[:20])
@pytest.mark.parametrize("field", ["service", "zone"])
def test_heartbeat_with_an_odd_text_is_passed_on(field: str, text: Any) -> None:
    assert_refused(read_runner_1, with_value(HEARTBEAT, text, field))


@pytest.mark.parametrize("endpoint", ["", "x" * 1000, "a b", "a\u00e4", "a\r\nb"], ids=repr)
def test_heartbeat_with_an_odd_identifier_is_passed_on(endpoint: str) -> None:
    with pytest.raises(ValueError, match="identifier"):
        read_heartbeat(endpoint, json.dumps(HEARTBEAT).encode())


@pytest.mark.parametrize("body", [DEEP, DEEP[:100_000], b'{"slots": ' + b"9" * 5000 + b"}"])
def test_body_that_no_parser_takes_ends_the_process(body: bytes) -> None:
    for read in (
        read_runner_1,
        parse_status,
        parse_counts,
        parse_experts,
        ConfigurationReader().read,
    ):
        assert_refused(read, body)


def test_every_heartbeat_that_is_read_can_be_sent_to_other_processes() -> None:
    codec: MessageCodec[NodeMessage] = MessageCodec(NodeMessage)
    for born, seq, slots in ((0, 0, 1), (2**53 - 1, 2**53 - 1, 65_536)):
        body = json.dumps({**HEARTBEAT, "born": born, "seq": seq, "slots": slots}).encode()
        message = HeartbeatsReceived((read_heartbeat("runner-1", body),))
        assert codec.decode(codec.encode(message)) == message


@pytest.mark.parametrize("literal", ["NaN", "Infinity", "-Infinity", "1e400", "-1"])
@pytest.mark.parametrize(
    "path",
    [
        ("routes", 0, "timeoutMs"),
        ("routes", 0, "sloMs"),
        ("services", 0, "engine", "step_ms"),
        ("services", 0, "coldPerS"),
        ("limits", "idleTimeoutMs"),
    ],
)
def test_configuration_with_a_number_that_is_none_is_accepted(
    path: tuple[Any, ...], literal: str
) -> None:
    plain = {"limits": {}, **VALID}
    body = with_value(plain, "@", *path).replace(b'"@"', literal.encode())
    assert_refused(ConfigurationReader().read, body)


@pytest.mark.parametrize(
    "path",
    [
        ("version",),
        ("routes", 0, "timeoutMs"),
        ("routes", 0, "maxAttempts"),
        ("tenants", 0, "priority"),
    ],
)
@pytest.mark.parametrize("value", [10**400, -3])
def test_configuration_with_a_number_out_of_range_is_accepted(
    path: tuple[Any, ...], value: int
) -> None:
    assert_refused(ConfigurationReader().read, with_value(VALID, value, *path))


@pytest.mark.parametrize("field", ["slots", "step_ms", "read_per_s"])
def test_engine_that_serves_nothing_divides_by_zero(field: str) -> None:
    assert_refused(ConfigurationReader().read, with_value(VALID, 0, "services", 0, "engine", field))


@pytest.mark.parametrize("path", [("size",), ("step",), ("map",), ("running",), ("group", "epoch")])
@pytest.mark.parametrize("value", [2**70, 10**400, -3, "4", True], ids=repr)
def test_rank_report_with_an_odd_number_is_read(path: tuple[Any, ...], value: Any) -> None:
    assert_refused(parse_status, with_value(REPORT, value, *path))


@pytest.mark.parametrize("value", [2**70, -3, True], ids=repr)
def test_rank_report_with_an_odd_prepared_version_is_read(value: Any) -> None:
    assert_refused(parse_status, with_value(REPORT, value, "prepared"))


@pytest.mark.parametrize("value", [10**400, -1, "fast", True, 0])
def test_rank_report_with_an_odd_pace_is_unreadable(value: Any) -> None:
    status = parse_status(with_value(REPORT, value, "pace"))
    assert status is not None
    assert status.pace is None


@pytest.mark.parametrize("counts", [[2**70], [-1], [True], ["1"], [None], 7])
def test_odd_counts_of_experts_are_added_up(counts: Any) -> None:
    assert_refused(parse_counts, json.dumps({"epoch": 1, "step": 2, "counts": counts}).encode())


@pytest.mark.parametrize("experts", [[1, 2], ["ab"], [[1, "2"]], [[2**70]], [[-1]], [[True]], 7])
def test_odd_lists_of_experts_end_the_agent(experts: Any) -> None:
    assert_refused(parse_experts, json.dumps({"map": {"experts": experts}}).encode())


@pytest.mark.parametrize(
    "text", ["9" * 5000, "9" * 400, "-1", "1_0", "٣", "1e400", "nan", " ", "1e3"]
)
def test_odd_header_of_a_caller_or_endpoint_ends_the_connection(text: str) -> None:
    request = RequestHead("GET", "/", (("bergamotchute-deadline-remaining", text),))
    assert REQUEST_FORMAT.read_request(request).time_left_s is None
    headers = (("bergamotchute-server-load", f"{text},0,6"), ("retry-after", text))
    response = REQUEST_FORMAT.read_response(ResponseHead(503, headers))
    assert response.requests is None
    assert response.retry_after_s is None


def test_event_id_with_thousands_of_digits_ends_the_connection() -> None:
    stream = EventStream("9" * 5000)
    assert stream.feed(b"id: 1" + b"0" * 5000 + b"\ndata: x\n\n")
    assert stream.last_event_id.startswith("10")


@pytest.mark.parametrize(
    "text",
    [
        b'{"a": 1e400}',
        b'{"a": NaN, "b": -0.0, "c": 18446744073709551616}',
        b'{"a": "\\ud800"}',
        b'{"a": "\xed\xa0\x80"}',
        b"\xef\xbb\xbf{}",
        '{"a": 1}'.encode("utf-16"),
        b'{"a": 1, "a": 2}',
    ],
)
def test_texts_that_only_the_standard_library_reads(text: bytes) -> None:
    """Guards against refusing reports that were read before a faster parser was tried first."""
    assert repr(read_object(text)) == repr(json.loads(text))


@pytest.mark.parametrize("value", [True, 1.0, -1, MAX_NUMBER + 1, "1", None, [1]])
def test_one_odd_count_among_many(value: object) -> None:
    """Guards against accepting a list because most of its items are valid."""
    with pytest.raises(ValueError, match="counts"):
        number_list("counts", [0, 1, MAX_NUMBER, value])

"""A status outside of 100 to 599 is a malformed response: the request may have run."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from bergamotchute_model.identifiers import Address
from bergamotchute_wire.endpoint_client import (
    EndpointCallInterrupted,
    EndpointRequest,
    http_endpoint_call,
)
from bergamotchute_wire.http1_messages import EndpointFailure
from bergamotchute_wire.persistent_connection import PersistentConnection
from support.entry_fixture import (
    EntryFixture,
    ReceivedRequest,
    answer,
    chunked,
    event,
    run_with_entry,
    stream_head,
)

STATUSES = ["600", "700", "999", "000", "001", "099", "13", "1000", "2x0"]


def malformed(request: ReceivedRequest, status: str) -> bytes:
    """Return a response that is signed and complete, but for its status."""
    return answer(request, body=b"done").replace(b"200", status.encode(), 1)


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("route", ["status", "order", "stream"])
def test_invalid_status_of_an_endpoint_reaches_the_caller(route: str, status: str) -> None:
    async def body(entry: EntryFixture) -> None:
        async def respond(request: ReceivedRequest, stream: SocketStream) -> None:
            await stream.send(malformed(request, status))

        await entry.add_endpoint("runner-1", respond)
        method = "GET" if route == "status" else "POST"
        response = await entry.send_request(route, method)
        assert response.status == 502
        assert response.body.startswith(b"malformed response")
        assert not any(word in response.body for word in (b"bytearray", b"h11", b"Informational"))
        assert len(entry.received_requests) == 1

    run_with_entry(body)


@pytest.mark.parametrize("route", ["status", "stream"])
def test_request_that_may_be_repeated_ends_with_an_invalid_status(route: str) -> None:
    async def body(entry: EntryFixture) -> None:
        async def respond(request: ReceivedRequest, stream: SocketStream) -> None:
            if request is entry.received_requests[0]:
                await stream.send(malformed(request, "700"))
            elif route == "stream":
                await stream.send(stream_head(request) + chunked(event(1)) + b"0\r\n\r\n")
            else:
                await stream.send(answer(request, body=event(1)))

        for number in (1, 2):
            await entry.add_endpoint(f"runner-{number}", respond)
        response = await entry.send_request(route, "GET" if route == "status" else "POST")
        assert (response.status, response.body, response.whole) == (200, event(1), True)

    run_with_entry(body)


@pytest.mark.parametrize("status", STATUSES)
def test_invalid_status_is_an_answer_to_an_agent(status: str) -> None:
    """For an order to a rank, a status that says no would mean that it is not carried out."""

    async def main() -> None:
        async def accept(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                head = f"HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n"
                await stream.send(head.encode())

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = Address(*listener.extra(SocketAttribute.local_address))
        call = http_endpoint_call(f"http://{address}")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, accept)
            with pytest.raises(EndpointFailure, match="malformed response") as failure:
                await PersistentConnection(address).call("POST", "/order", b"", 5.0)
            assert failure.value.may_have_arrived
            assert "bytearray" not in failure.value.reason
            with pytest.raises(EndpointCallInterrupted, match="malformed response"):
                async with call(EndpointRequest("POST", "/", (), b"{}", 5.0)):
                    pass
            tasks.cancel_scope.cancel()

    anyio.run(main)

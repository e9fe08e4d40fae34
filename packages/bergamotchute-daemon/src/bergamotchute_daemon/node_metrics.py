"""Counters, gauges and latency histograms of entries, control VMs and agents, for Prometheus."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from bergamotchute_model.verdict import Verdict
from bergamotchute_model.versioned_configuration import RouteKind
from bergamotchute_wire.http1_server import CallerRequest, ResponseWriter

LATENCY_BUCKETS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0, float("inf"))
"""Finest around the objectives of 0.15 s for orders and 0.4 s for a first event."""

METRICS_PATH = "/metrics"

ReadGauges = Callable[[], Mapping[str, float]]
"""Reads the gauges of a process, by name."""


class NodeMetrics:
    """The metrics of one process.

    :param read_gauges: called whenever the metrics are requested.
    """

    def __init__(self, read_gauges: ReadGauges) -> None:
        self.read_gauges = read_gauges
        self.registry = Registry()
        self.requests = Counter(
            "bergamotchute_direct_requests_total",
            "Callers' requests by route kind and status; 0 for an answer that broke off.",
            registry=self.registry,
        )
        self.attempts = Counter(
            "bergamotchute_direct_attempts_total",
            "Attempts by their verdict.",
            registry=self.registry,
        )
        self.time_to_first_s = Histogram(
            "bergamotchute_direct_first_seconds",
            "Time from a request's arrival to its answer, or to the first event of a stream.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.pause_s = Histogram(
            "bergamotchute_direct_longest_pause_seconds",
            "The longest pause between two parts of a stream.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.state_gauge = Gauge(
            "bergamotchute_node", "State of the process, by name.", registry=self.registry
        )

    def on_request(self, kind: RouteKind | None, status: int) -> None:
        """Count a finished request; ``kind`` is ``None`` when no route matched."""
        self.requests.inc({"kind": str(kind or "none"), "status": str(status)})

    def on_attempt(self, verdict: Verdict) -> None:
        """Count a finished attempt."""
        self.attempts.inc({"verdict": str(verdict)})

    def on_response(self, kind: RouteKind, waited_s: float, longest_pause_s: float) -> None:
        """Record the latency of a complete response, and the longest pause of a stream."""
        self.time_to_first_s.observe({"kind": str(kind)}, waited_s)
        if kind is RouteKind.STREAM:
            self.pause_s.observe({"kind": str(kind)}, longest_pause_s)

    async def handle_request(self, request: CallerRequest, writer: ResponseWriter) -> None:
        """Respond with the metrics, or with status 404 for another path."""
        if request.head.target.partition("?")[0] != METRICS_PATH:
            await writer.respond(404)
            return
        for name, value in self.read_gauges().items():
            self.state_gauge.set({"name": name}, value)
        accept = request.head.get_header("accept")
        body, headers = render(self.registry, [accept] if accept else [])
        plain = tuple((name.lower(), value) for name, value in headers.items())
        await writer.respond(200, plain, body)

"""Metrics of one process, for Prometheus."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from bergamotchute_model.headers import Headers

LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0, float("inf"))


class Metrics:
    """The counters, gauges and histograms of a process.

    :param registry: holds the metrics; each process has its own.
    """

    def __init__(self, registry: Registry | None = None) -> None:
        self.registry = registry if registry is not None else Registry()
        self.requests = Counter(
            "bergamotchute_requests_total",
            "Requests by service and result.",
            registry=self.registry,
        )
        self.first_byte_s = Histogram(
            "bergamotchute_first_byte_seconds",
            "Time from receipt to the first byte of the answer, by service.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.in_flight = Gauge(
            "bergamotchute_in_flight", "Requests or attempts in flight.", registry=self.registry
        )
        self.waiting = Gauge(
            "bergamotchute_waiting", "Requests that wait for a place.", registry=self.registry
        )
        self.dropped_answers = Gauge(
            "bergamotchute_dropped_answers",
            "Answer messages that matched no attempt, over the links open now.",
            registry=self.registry,
        )
        self.revision = Gauge(
            "bergamotchute_view_revision", "Newest view revision in use.", registry=self.registry
        )

    def render(self, accept: str) -> tuple[bytes, Headers]:
        """Return the metrics and the headers to send them with."""
        body, headers = render(self.registry, [accept] if accept else [])
        return body, tuple((name.lower(), value) for name, value in headers.items())

"""Estimates of a request's work, from its limits and the history of similar requests."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import log2

from bergamotchute_policy.work import RequestSize

BUCKETS_PER_DOUBLING = 2
BUCKET_COUNT = 48
HALF_LIFE_SAMPLES = 200
MIN_SAMPLES = 8.0
MAX_HISTORIES = 4_096
PROMPT_TOKENS_PER_GENERATED_TOKEN = 20.0
LONG_REQUEST_TOKENS = 512.0


@dataclass(frozen=True)
class WorkEstimate:
    """The expected work of a request.

    :param expected_tokens: expected work in generated tokens, including the cost of the prompt.
    """

    expected_tokens: float
    size: RequestSize


class TokenHistory:
    """Token counts in logarithmic buckets, with exponential decay of old samples."""

    def __init__(self) -> None:
        self.buckets = [0.0] * BUCKET_COUNT
        self.total = 0.0
        self.step = 1.0

    def add(self, tokens: float) -> None:
        """Add a sample, weighted higher than the previous one so that older samples decay."""
        self.step *= 2.0 ** (1.0 / HALF_LIFE_SAMPLES)
        self.buckets[_bucket_index(tokens)] += self.step
        self.total += self.step
        if self.step > 1e12:
            self._rescale()

    def effective_sample_count(self) -> float:
        """Return the total weight of all samples, in units of the newest one."""
        return self.total / self.step

    def capped_mean(self, limit: float) -> float:
        """Return the mean of the samples, each capped at ``limit``."""
        weighted_sum = sum(
            weight * min(limit, _bucket_midpoint(index))
            for index, weight in enumerate(self.buckets)
        )
        return weighted_sum / self.total

    def _rescale(self) -> None:
        """Scale the weights down, to keep the precision of floating-point sums."""
        self.buckets = [weight / self.step for weight in self.buckets]
        self.total /= self.step
        self.step = 1.0


HistoryKey = tuple[str, str, int, int]


class WorkEstimator:
    """Estimates the work of requests from the history of similar ones.

    Requests are similar when their team, their service and the magnitudes of their prompt and of
    ``max_tokens`` match. Without enough history for these, the estimate uses the history of all
    teams, then that of all requests to the service with such a prompt, and finally ``max_tokens``
    itself. The least recently used histories are dropped first.

    :param long_tokens: expected work from which a request counts as long.
    """

    def __init__(self, long_tokens: float = LONG_REQUEST_TOKENS) -> None:
        self.long_tokens = long_tokens
        self.histories: OrderedDict[HistoryKey, TokenHistory] = OrderedDict()

    def estimate(
        self, team: str, service: str, prompt_tokens: int, max_tokens: int
    ) -> WorkEstimate:
        """Return the expected work of a request."""
        tokens = float(max_tokens)
        for key in _history_keys(team, service, prompt_tokens, max_tokens):
            history = self.histories.get(key)
            if history is not None and history.effective_sample_count() >= MIN_SAMPLES:
                tokens = min(tokens, history.capped_mean(tokens))
                break
        tokens = max(1.0, tokens + prompt_tokens / PROMPT_TOKENS_PER_GENERATED_TOKEN)
        return WorkEstimate(
            tokens, RequestSize.LONG if tokens >= self.long_tokens else RequestSize.SHORT
        )

    def on_finish(
        self, team: str, service: str, prompt_tokens: int, max_tokens: int, generated: int
    ) -> None:
        """Add the number of generated tokens of a completed request to the histories."""
        for key in _history_keys(team, service, prompt_tokens, max_tokens):
            history = self.histories.get(key)
            if history is None:
                history = self.histories[key] = TokenHistory()
            self.histories.move_to_end(key)
            history.add(float(generated))
        while len(self.histories) > MAX_HISTORIES:
            self.histories.popitem(last=False)


def _history_keys(
    team: str, service: str, prompt_tokens: int, max_tokens: int
) -> tuple[HistoryKey, ...]:
    """Return the history keys of a request, from the most to the least specific."""
    prompt, limit = _magnitude(prompt_tokens), _magnitude(max_tokens)
    return (team, service, prompt, limit), ("", service, prompt, limit), ("", service, prompt, -1)


def _magnitude(tokens: int) -> int:
    """Return the order of magnitude of a count, in factors of 4."""
    return max(0, tokens).bit_length() // 2


def _bucket_index(tokens: float) -> int:
    """Return the index of the bucket that contains a count."""
    index = int(log2(max(1.0, tokens)) * BUCKETS_PER_DOUBLING)
    return min(index, BUCKET_COUNT - 1)


def _bucket_midpoint(index: int) -> float:
    """Return the geometric midpoint of a bucket, which represents its counts."""
    return float(2.0 ** ((index + 0.5) / BUCKETS_PER_DOUBLING))

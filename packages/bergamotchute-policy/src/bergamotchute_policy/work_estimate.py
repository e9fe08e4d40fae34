"""How much work a request will be, from what it asks for and what its like took before."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import log2

from bergamotchute_policy.work import Size

BUCKETS_PER_DOUBLING = 2
BUCKET_COUNT = 48
SAMPLE_HALF_LIFE = 200
MIN_SAMPLES = 8.0
MAX_HISTORIES = 4_096
PROMPT_TOKENS_PER_TOKEN = 20.0
LONG_TOKENS = 512.0


@dataclass(frozen=True)
class Estimate:
    """The expected work of a request.

    :param tokens: tokens of generation, with reading the prompt counted in.
    """

    tokens: float
    size: Size


class TokenHistory:
    """Token counts in logarithmic buckets, in which old samples fade."""

    def __init__(self) -> None:
        self.buckets = [0.0] * BUCKET_COUNT
        self.total = 0.0
        self.step = 1.0

    def add(self, tokens: float) -> None:
        """Add a sample, worth as much more than the last one as it is newer."""
        self.step *= 2.0 ** (1.0 / SAMPLE_HALF_LIFE)
        self.buckets[_bucket(tokens)] += self.step
        self.total += self.step
        if self.step > 1e12:
            self._rescale()

    def samples(self) -> float:
        """Return how many new samples the old ones are worth together."""
        return self.total / self.step

    def mean_up_to(self, limit: float) -> float:
        """Return the mean of the samples, each cut off at ``limit``."""
        summed = sum(
            weight * min(limit, _middle(index)) for index, weight in enumerate(self.buckets)
        )
        return summed / self.total

    def _rescale(self) -> None:
        """Bring the weights back to where floats are exact enough."""
        self.buckets = [weight / self.step for weight in self.buckets]
        self.total /= self.step
        self.step = 1.0


Key = tuple[str, str, int, int]


class WorkEstimator:
    """Estimates requests by the history of their team, service and limits.

    Requests are alike when team, service and the magnitudes of their prompt and of ``max_tokens``
    agree. Without enough history of its like, a request counts as those of all teams do, then as
    all with such a prompt; without that either, as its whole ``max_tokens``. Histories that are
    not used are forgotten, the oldest first.

    :param long_tokens: expected work from which a request is long.
    """

    def __init__(self, long_tokens: float = LONG_TOKENS) -> None:
        self.long_tokens = long_tokens
        self.histories: OrderedDict[Key, TokenHistory] = OrderedDict()

    def estimate(self, team: str, service: str, prompt_tokens: int, max_tokens: int) -> Estimate:
        """Return the expected work of a request."""
        tokens = float(max_tokens)
        for key in _keys(team, service, prompt_tokens, max_tokens):
            history = self.histories.get(key)
            if history is not None and history.samples() >= MIN_SAMPLES:
                tokens = min(tokens, history.mean_up_to(tokens))
                break
        tokens = max(1.0, tokens + prompt_tokens / PROMPT_TOKENS_PER_TOKEN)
        return Estimate(tokens, Size.LONG if tokens >= self.long_tokens else Size.SHORT)

    def on_finish(
        self, team: str, service: str, prompt_tokens: int, max_tokens: int, generated: int
    ) -> None:
        """Learn what a completed request really generated."""
        for key in _keys(team, service, prompt_tokens, max_tokens):
            history = self.histories.get(key)
            if history is None:
                history = self.histories[key] = TokenHistory()
            self.histories.move_to_end(key)
            history.add(float(generated))
        while len(self.histories) > MAX_HISTORIES:
            self.histories.popitem(last=False)


def _keys(team: str, service: str, prompt_tokens: int, max_tokens: int) -> tuple[Key, ...]:
    """Return what alike requests have in common, the closest likeness first."""
    prompt, limit = _magnitude(prompt_tokens), _magnitude(max_tokens)
    return (team, service, prompt, limit), ("", service, prompt, limit), ("", service, prompt, -1)


def _magnitude(tokens: int) -> int:
    """Return the magnitude of a count, in steps of four times."""
    return max(0, tokens).bit_length() // 2


def _bucket(tokens: float) -> int:
    """Return the bucket that a count falls into."""
    index = int(log2(max(1.0, tokens)) * BUCKETS_PER_DOUBLING)
    return min(index, BUCKET_COUNT - 1)


def _middle(index: int) -> float:
    """Return the count that stands for a bucket."""
    return float(2.0 ** ((index + 0.5) / BUCKETS_PER_DOUBLING))

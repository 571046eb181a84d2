"""The cost model of a group that batches continuously and reads prompts in between.

Requests join and leave the batch between passes, as in G.-I. Yu et al., "Orca: A
Distributed Serving System for Transformer-Based Generative Models", OSDI 2022. Prompts
are read in chunks beside the steps of those that write, as in A. Agrawal et al.,
"Taming Throughput-Latency Tradeoff in LLM Inference with Sarathi-Serve", OSDI 2024.
"""

import math

# Used where the configuration does not name the mean request.
DEFAULT_PROMPT_TOKENS = 512.0
DEFAULT_ANSWER_TOKENS = 128.0
MIN_STEP_S = 1e-4
# An arrival finds a pass half done on average.
RESIDUAL_PASS_SHARE = 0.5
# The prompt is read in one pass, the first event is written in the next.
READ_AND_WRITE_PASSES = 2


class GroupCost:
    """The times of a group with ``slots`` places, before any correction.

    All times are in seconds. ``requests`` counts those that run or wait.
    """

    __slots__ = (
        "slots",
        "_timings",
        "_pace",
        "_prompt_tokens",
        "_answer_tokens",
        "_read_s",
    )

    def __init__(self, timings, *, pace, slots):
        """Precompute what does not depend on the load.

        :param timings: the `EngineTimings`.
        :param pace: the model's factor on all times.
        :param slots: how many requests run at once.
        """
        self.slots = max(1, slots)
        self._timings = timings
        self._pace = _positive(pace, 1.0)
        self._prompt_tokens = _positive(
            timings.usual_prompt_tokens, DEFAULT_PROMPT_TOKENS
        )
        self._answer_tokens = _positive(
            timings.usual_answer_tokens, DEFAULT_ANSWER_TOKENS
        )
        self._read_s = self.read_s(self._prompt_tokens)

    def read_s(self, prompt_tokens):
        """Return the time in which a prompt is read."""
        timings = self._timings
        if timings.prompt_tokens_per_s <= 0:
            return 0.0
        pairs = prompt_tokens * prompt_tokens / 2
        return self._pace * (
            prompt_tokens / timings.prompt_tokens_per_s
            + pairs * max(0.0, timings.attention_pair_s)
        )

    def step_s(self, running):
        """Return the time in which each of ``running`` requests gets a token."""
        timings = self._timings
        context = self._prompt_tokens + self._answer_tokens / 2
        per_request_s = (
            max(0.0, timings.per_sequence_s)
            + max(0.0, timings.per_context_token_s) * context
        )
        step_s = _positive(timings.step_s, MIN_STEP_S)
        return self._pace * (step_s + running * per_request_s)

    def pass_s(self, running):
        """Return the time of a pass, without prompts that are read in it."""
        return max(1, self._timings.stride) * self.step_s(running)

    def service_s(self, running):
        """Return how long a mean request keeps its place beside ``running - 1`` others.

        Each of the others reads a prompt of its own in that time.
        """
        return self._answer_tokens * self.step_s(running) + running * self._read_s

    def place_interval_s(self):
        """Return the mean time between two places that come free in a full group."""
        return self.service_s(self.slots) / self.slots

    def place_wait_s(self, requests):
        """Return how long a request waits for its place behind ``requests`` others."""
        waiting = requests - self.slots + 1
        return max(0.0, waiting) * self.place_interval_s()

    def first_event_s(self, requests, prompt_tokens=0):
        """Return the time until the first event of a request that arrives now.

        :param requests: those that run or wait there.
        :param prompt_tokens: of its own prompt; 0 for the usual number.
        """
        running = min(requests + 1, self.slots)
        own_read_s = self.read_s(prompt_tokens) if prompt_tokens > 0 else self._read_s
        pass_s = self.pass_s(running)
        # Prompts that others bring while this one waits for a pass to end and reads.
        others_s = self._read_s * running * pass_s / self.service_s(running)
        return (
            self.place_wait_s(requests)
            + RESIDUAL_PASS_SHARE * pass_s
            + own_read_s
            + others_s
            + READ_AND_WRITE_PASSES * pass_s
        )


def _positive(value, default):
    """Return ``value``, or ``default`` if it is no positive number."""
    return value if 0 < value < math.inf else default

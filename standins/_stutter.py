"""The ways in which a stuttering replica answers, drawn at random for each answer."""

from dataclasses import dataclass

SHORT_DELAY_RANGE_S = (0.002, 0.2)
LONG_DELAY_RANGE_S = (0.5, 4.0)
CUT_DELAY_RANGE_S = (0.001, 0.05)


@dataclass(frozen=True, slots=True)
class Once:
    """No copy follows."""


@dataclass(frozen=True, slots=True)
class InSamePacket:
    """A copy follows in the same packet."""


@dataclass(frozen=True, slots=True)
class InOwnPacket:
    """A copy follows at once in a packet of its own."""


@dataclass(frozen=True, slots=True)
class Later:
    """A copy follows ``delay_s`` later, once no other answer is being written."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class OnNextRequest:
    """A copy follows when the connection's next request arrives."""


@dataclass(frozen=True, slots=True)
class BeforeNextAnswer:
    """A copy follows in the packet of the connection's next answer, before it."""


@dataclass(frozen=True, slots=True)
class CutInTwo:
    """A copy begins in the answer's packet and goes on ``delay_s`` later."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class BeforeClose:
    """A copy follows at once, and then the connection ends."""


@dataclass(frozen=True, slots=True)
class Whole:
    """The answer is whole and says how long it is."""


@dataclass(frozen=True, slots=True)
class WithoutLength:
    """The answer is whole and ends with its connection."""


@dataclass(frozen=True, slots=True)
class BrokenOff:
    """The connection ends within the answer; by a reset if ``by_reset`` is set."""

    by_reset: bool


@dataclass(frozen=True, slots=True)
class Spoiled:
    """Bytes that are no answer take the answer's place, and the connection ends."""


@dataclass(frozen=True, slots=True)
class Plan:
    """How one answer is sent: its own ``form`` and its ``copy``.

    The copy has no attempt id unless ``copy_has_id``; with ``flips_status`` it is a
    success if the answer is a failure, and a failure if the answer is a success.
    """

    form: object
    copy: object
    copy_has_id: bool
    flips_status: bool


COPY_NAMES = (
    "same-packet",
    "own-packet",
    "soon",
    "seconds",
    "next-request",
    "next-answer",
    "cut",
    "close",
)


class Stutter:
    """Draws a `Plan` for each answer.

    ``share`` is the share of answers that are repeated and ``faulty_share`` the share
    that are broken off, spoiled or without a length, both from 0 to 1.
    """

    __slots__ = ("share", "faulty_share", "copy_names", "_random")

    def __init__(self, rng, *, share, faulty_share=0.0, copy_names=COPY_NAMES):
        """Draw by ``rng`` among the copies that ``copy_names`` lists."""
        self.share = share
        self.faulty_share = faulty_share
        self.copy_names = copy_names
        self._random = rng

    def draw(self):
        """Return the `Plan` of the next answer."""
        rng = self._random
        form = Whole()
        if rng.random() < self.faulty_share:
            form = rng.choice(
                (WithoutLength(), BrokenOff(False), BrokenOff(True), Spoiled())
            )
        copy = Once()
        if rng.random() < self.share:
            copy = self._draw_copy(rng.choice(self.copy_names))
        return Plan(form, copy, rng.random() < 0.8, rng.random() < 0.5)

    def _draw_copy(self, name):
        rng = self._random
        match name:
            case "same-packet":
                return InSamePacket()
            case "own-packet":
                return InOwnPacket()
            case "soon":
                return Later(rng.uniform(*SHORT_DELAY_RANGE_S))
            case "seconds":
                return Later(rng.uniform(*LONG_DELAY_RANGE_S))
            case "next-request":
                return OnNextRequest()
            case "next-answer":
                return BeforeNextAnswer()
            case "cut":
                return CutInTwo(rng.uniform(*CUT_DELAY_RANGE_S))
            case "close":
                return BeforeClose()
        raise ValueError(f"unknown copy {name!r}; expected one of {COPY_NAMES}")

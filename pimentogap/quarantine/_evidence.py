"""Decides from the evidence of all daemons which prompt parts are quarantined."""

from collections import OrderedDict

from pimentogap.quarantine._types import QuarantinedPart, QuarantineList

# A part is quarantined after this many backend servers have ended under at least
# `MIN_REQUESTS` requests with it, and none with it has been answered.
MIN_LIVES = 3
MIN_REQUESTS = 2
# For a part that was released before.
MIN_LIVES_AGAIN = 4
# Evidence older than this is dropped unless the part is quarantined.
MAX_AGE_S = 300.0
MAX_SUSPECTS = 1000
MAX_QUARANTINED = 64
MAX_LIVES = 16
# Time without a strike until a request is let through, as multiples of the time that
# the platform gives daemons to react: by the number of strikes, and from there on.
TRIAL_FACTOR_BY_STRIKES = {3: 1 / 3, 4: 4.0}
LAST_TRIAL_FACTOR = 20.0
# Beside other quarantined parts a part is tried ever later, since the outcome would not
# tell which of them is deadly.
SEVERAL_PARTS_FACTOR = 4.0
# A trial without an outcome is over after this; no stream lasts longer.
TRIAL_TIMEOUT_S = 10.0


def time_to_trial_s(strikes, react_s, *, several=False):
    """Return the time without a strike until a request may be tried, in seconds.

    :param react_s: the time that the platform gives daemons to react.
    :param several: whether the request has more than one quarantined part.
    """
    factor = TRIAL_FACTOR_BY_STRIKES.get(strikes, LAST_TRIAL_FACTOR)
    if several:
        factor *= SEVERAL_PARTS_FACTOR
    return factor * react_s


class Suspect:
    """The evidence against one part. Times are in seconds of the runtime's clock.

    ``earlier_strikes`` were recorded by an earlier leader, whose evidence is not known.
    """

    __slots__ = (
        "lives",
        "request_ids",
        "earlier_strikes",
        "first_at",
        "last_at",
        "is_quarantined",
        "was_released",
        "trial_until",
    )

    def __init__(self, now, *, was_released=False):
        self.lives = set()
        self.request_ids = set()
        self.earlier_strikes = 0
        self.first_at = now
        self.last_at = now
        self.is_quarantined = False
        self.was_released = was_released
        self.trial_until = 0.0

    @property
    def strikes(self):
        """Return how many backend servers ended under the part."""
        return self.earlier_strikes + len(self.lives)

    def suffices(self, explained_lives):
        """Return whether the evidence is enough to quarantine the part.

        :param explained_lives: the servers that ended under quarantined parts.
        """
        least = MIN_LIVES_AGAIN if self.was_released else MIN_LIVES
        is_repeated = len(self.request_ids) >= MIN_REQUESTS
        return is_repeated and len(self.lives - explained_lives) >= least


class EvidenceTable:
    """The suspected and quarantined parts, as the leader of ``term`` knows them.

    Each daemon sees only a few requests of a part, so the leader alone decides.
    """

    __slots__ = (
        "_term",
        "_serial",
        "_react_s",
        "_suspects_by_key",
        "_released_keys",
    )

    def __init__(self, term, react_s, known, now):
        """Continue with the `QuarantineList` ``known`` of an earlier leader.

        :param react_s: the time that the platform gives daemons to react to a part
            that crashes backend servers, in seconds.
        """
        self._term = term
        self._serial = 0
        self._react_s = react_s
        self._suspects_by_key = OrderedDict()
        self._released_keys = OrderedDict()
        for key, part in known.parts_by_key.items():
            suspect = Suspect(now, was_released=part.convicted_again)
            suspect.earlier_strikes = part.strikes
            suspect.is_quarantined = True
            self._suspects_by_key[key] = suspect

    def __len__(self):
        return len(self._suspects_by_key)

    def record_strikes(self, strikes, now):
        """Record `Strike` evidence; return the keys that it quarantines."""
        struck = [self._record_strike(strike, now) for strike in strikes]
        if any(suspect is not None and suspect.is_quarantined for suspect in struck):
            self._serial += 1
        convicted = self._convict()
        self._forget_old(now)
        return convicted

    def record_answer(self, key, answered_at):
        """Record that a request with the part was answered; return if it is released.

        For a part that was released before, an answer from before the first strike
        does not count.
        """
        suspect = self._suspects_by_key.get(key)
        if suspect is None:
            return False
        if suspect.was_released and answered_at < suspect.first_at:
            return False
        del self._suspects_by_key[key]
        if not suspect.is_quarantined:
            return False
        self._released_keys[key] = None
        if len(self._released_keys) > MAX_SUSPECTS:
            self._released_keys.popitem(last=False)
        self._serial += 1
        return True

    def grant_trial(self, key, now):
        """Return whether one request with the quarantined part may run now."""
        suspect = self._suspects_by_key.get(key)
        if suspect is None:
            return True
        if now < suspect.trial_until:
            return False
        if now - suspect.last_at < self._trial_after_s(suspect):
            return False
        suspect.trial_until = now + TRIAL_TIMEOUT_S
        return True

    def quarantined(self):
        """Return the `QuarantineList`."""
        parts_by_key = {
            key: QuarantinedPart(
                strikes=suspect.strikes,
                trial_after_s=round(self._trial_after_s(suspect), 3),
                convicted_again=suspect.was_released,
            )
            for key, suspect in self._suspects_by_key.items()
            if suspect.is_quarantined
        }
        return QuarantineList(self._term, self._serial, parts_by_key)

    def _record_strike(self, strike, now):
        """Return the `Suspect` if the strike is new evidence, else ``None``."""
        suspect = self._suspects_by_key.get(strike.key)
        if suspect is None:
            suspect = Suspect(now, was_released=strike.key in self._released_keys)
            self._suspects_by_key[strike.key] = suspect
        suspect.last_at = now
        suspect.trial_until = 0.0
        if len(suspect.lives) >= MAX_LIVES:
            return None
        known = len(suspect.lives), len(suspect.request_ids)
        suspect.lives.add(strike.life)
        suspect.request_ids.add(strike.request_id)
        is_new = known != (len(suspect.lives), len(suspect.request_ids))
        return suspect if is_new else None

    def _convict(self):
        """Quarantine the parts against which the evidence suffices; return their keys.

        What ended under a quarantined part does not count against those beside it, as
        long as it is quarantined.
        """
        explained = set()
        for suspect in self._suspects_by_key.values():
            if suspect.is_quarantined:
                explained |= suspect.lives
        convicted = [
            key
            for key, suspect in self._suspects_by_key.items()
            if not suspect.is_quarantined and suspect.suffices(explained)
        ]
        for key in convicted:
            self._suspects_by_key[key].is_quarantined = True
        if convicted:
            self._serial += 1
        return convicted

    def _trial_after_s(self, suspect):
        """Return the time to the trial of a request without other quarantined parts.

        Of parts that were struck by the same crashes, one is deadly; the others should
        not wait.
        """
        strikes = MIN_LIVES if self._is_tied(suspect) else suspect.strikes
        return time_to_trial_s(strikes, self._react_s)

    def _is_tied(self, suspect):
        return any(
            other is not suspect
            and other.is_quarantined
            # Lives that an earlier leader knew of are not known, and equal nothing.
            and other.lives == suspect.lives != set()
            for other in self._suspects_by_key.values()
        )

    def _forget_old(self, now):
        """Keep the tables bounded, whatever callers send."""
        quarantined = [
            key for key, item in self._suspects_by_key.items() if item.is_quarantined
        ]
        for key in quarantined[:-MAX_QUARANTINED]:
            del self._suspects_by_key[key]
        suspects = [
            key
            for key, item in self._suspects_by_key.items()
            if not item.is_quarantined
        ]
        excess = max(0, len(suspects) - MAX_SUSPECTS)
        for index, key in enumerate(suspects):
            if index < excess or now - self._suspects_by_key[key].last_at > MAX_AGE_S:
                del self._suspects_by_key[key]

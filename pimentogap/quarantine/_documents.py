"""Encodes what daemons tell each other, and keep in the store, about prompt parts."""

from pimentogap.quarantine._types import (
    QuarantinedPart,
    QuarantineList,
    Served,
    Strike,
)
from pimentogap.schema import read_count, reject_malformed


def encode_list(quarantined):
    """Return a `QuarantineList` as plain data."""
    return {
        "term": quarantined.term,
        "serial": quarantined.serial,
        "parts": {
            key: [part.strikes, part.trial_after_s, part.convicted_again]
            for key, part in quarantined.parts_by_key.items()
        },
    }


def decode_list(data):
    """Return the `QuarantineList` that `encode_list` turned into ``data``.

    :raises InvalidDocument: if it is malformed.
    """
    with reject_malformed("a list of quarantined parts"):
        parts_by_key = {
            str(key): QuarantinedPart(
                strikes=int(strikes),
                trial_after_s=float(trial_after_s),
                convicted_again=bool(again),
            )
            for key, (strikes, trial_after_s, again) in data["parts"].items()
        }
        term, serial = read_count(data["term"]), read_count(data["serial"])
        return QuarantineList(term, serial, parts_by_key)


def encode_reports(reports):
    """Return `Strike` and `Served` reports as plain data."""
    strikes, served = [], []
    for report in reports:
        match report:
            case Strike(key, life, request_id):
                strikes.append([key, life, request_id])
            case Served(key, ago_s):
                served.append([key, round(ago_s, 3)])
    return {"strikes": strikes, "served": served}


def decode_reports(data):
    """Return the `Strike` and the `Served` reports in ``data``, as two lists.

    :raises InvalidDocument: if it is malformed.
    """
    with reject_malformed("reports on prompt parts"):
        strikes = [
            Strike(str(key), str(life), str(id_)) for key, life, id_ in data["strikes"]
        ]
        served = [Served(str(key), float(ago_s)) for key, ago_s in data["served"]]
        return strikes, served

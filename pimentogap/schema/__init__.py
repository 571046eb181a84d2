"""Document shapes: declared on data class fields, used to check and to dump."""

from pimentogap.schema._check import Problem, check, describe
from pimentogap.schema._dump import dump
from pimentogap.schema._malformed import read_count, reject_malformed
from pimentogap.schema._shapes import (
    Address,
    Choice,
    Duration,
    Flag,
    Integer,
    Listing,
    Number,
    Record,
    Size,
    Text,
    name_shape,
    shaped,
)

__all__ = [
    "Address",
    "Choice",
    "Duration",
    "Flag",
    "Integer",
    "Listing",
    "Number",
    "Problem",
    "Record",
    "Size",
    "Text",
    "check",
    "describe",
    "dump",
    "name_shape",
    "read_count",
    "reject_malformed",
    "shaped",
]

"""Seeds that failed once, each with its cause; every long soak plays them first."""

CAUSES_BY_SEED = {
    207: "SIGHUP ended a daemon that was still loading its modules; once of two plays",
}

"""Seeds that failed once, each with its cause; every long soak plays them first."""

CAUSES_BY_SEED = {}

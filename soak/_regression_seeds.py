"""Seeds of past failures with their causes; a run with ``--seeds`` runs them first."""

CAUSES_BY_SEED = {
    207: "SIGHUP ended a daemon that was still loading its modules; not in every run",
}

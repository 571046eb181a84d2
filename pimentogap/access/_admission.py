"""Checks the keys of callers and operators, and the services they may call."""

from dataclasses import dataclass

from pimentogap.access._keys import key_matches
from pimentogap.types import Refusal, RefusalCode, Workspace, not_run


@dataclass(frozen=True, slots=True)
class Admitted:
    """The caller is admitted to ``workspace``."""

    workspace: Workspace


@dataclass(frozen=True, slots=True)
class Rejected:
    """The caller is not admitted; ``refusal`` is the answer."""

    refusal: Refusal


def admit(configuration, *, workspace_name, key):
    """Return `Admitted` or `Rejected` for a call.

    A wrong key and an unknown workspace get the same refusal, so that the answer
    does not reveal which workspaces exist.
    """
    workspace = configuration.get("workspace", workspace_name)
    allowed = workspace is not None and (
        not workspace.key_hashes or key_matches(key, workspace.key_hashes)
    )
    if not allowed:
        detail = "no workspace of that name admits this key"
        return Rejected(not_run(RefusalCode.UNKNOWN_WORKSPACE, detail))
    return Admitted(workspace)


def service_refusal(workspace, service_name):
    """Return ``None`` if ``workspace`` may call the service, else a `Refusal`."""
    if service_name in workspace.services:
        return None
    detail = f"workspace {workspace.name} may not call {service_name}"
    return not_run(RefusalCode.NOT_PERMITTED, detail)


def may_submit(configuration, *, operator_name, key):
    """Return whether ``key`` belongs to the operator called ``operator_name``.

    As long as no operator is configured, anyone may submit tickets.
    """
    operators = configuration.by_name("operator")
    if not operators:
        return True
    operator = operators.get(operator_name)
    return operator is not None and key_matches(key, operator.key_hashes)

"""Rules that span several items of a configuration."""

from dataclasses import dataclass

from pimentogap.types import SURPLUS_PREFIX


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that a configuration breaks, and the ``subject`` that breaks it."""

    subject: str
    rule: str

    def __str__(self):
        return f"{self.subject}: {self.rule}"


def validate(configuration, *, vms_by_id=None):
    """Return a list of every `Violation` of ``configuration``.

    :param vms_by_id: the platform's VMs, as far as they are known; the fabric
        domain of a pinned VM is not checked if the VM is missing here.
    """
    return [
        *_check_workspaces(configuration),
        *_check_groups(configuration, vms_by_id or {}),
        *_check_service_names(configuration),
        *_check_objectives(configuration),
    ]


def _check_workspaces(configuration):
    services = {
        **configuration.by_name("model_service"),
        **configuration.by_name("plain_service"),
    }
    for name, workspace in configuration.by_name("workspace").items():
        subject = f"workspace {name}"
        for service_name in workspace.services:
            service = services.get(service_name)
            if service is None:
                yield Violation(subject, f"no service is called {service_name}")
            elif workspace.requests_per_s > service.requests_per_s:
                yield Violation(
                    subject,
                    f"its limit of {workspace.requests_per_s:g} requests/s is above "
                    f"the {service.requests_per_s:g} of service {service_name}",
                )


def _check_groups(configuration, vms_by_id):
    services = configuration.by_name("model_service")
    groups_by_vm = {}
    for name, group in configuration.by_name("model_group").items():
        subject = f"model_group {name}"
        if name.startswith(SURPLUS_PREFIX):
            yield Violation(subject, f"names that begin with {SURPLUS_PREFIX} are kept")
        service = services.get(group.service)
        if service is None:
            yield Violation(subject, f"no model_service is called {group.service}")
            continue
        if group.vms and len(group.vms) != service.vms_per_group:
            yield Violation(
                subject,
                f"{len(group.vms)} VMs where {group.service} needs "
                f"{service.vms_per_group}",
            )
        domains = {vms_by_id[vm].fabric_domain for vm in group.vms if vm in vms_by_id}
        if len(domains) > 1:
            yield Violation(subject, "fabric domains " + ", ".join(sorted(domains)))
        for vm in group.vms:
            other = groups_by_vm.setdefault(vm, name)
            if other != name or group.vms.count(vm) > 1:
                yield Violation(subject, f"VM {vm} is also in model_group {other}")


def _check_service_names(configuration):
    for name in configuration.by_name("model_service"):
        if configuration.get("plain_service", name) is not None:
            yield Violation(f"model_service {name}", "a plain_service has that name")


def _check_objectives(configuration):
    for name, objective in configuration.by_name("objective").items():
        workspace = configuration.get("workspace", objective.workspace)
        subject = f"objective {name}"
        if workspace is None:
            yield Violation(subject, f"no workspace is called {objective.workspace}")
        elif objective.service not in workspace.services:
            rule = f"workspace {workspace.name} does not call {objective.service}"
            yield Violation(subject, rule)
        if objective.measure != "availability" and not objective.threshold:
            yield Violation(subject, f"{objective.measure} needs a threshold")

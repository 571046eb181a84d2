"""Finds the entries of a configuration that no request can ever meet."""

from pimentogap.checks._findings import Entry, EntryKind, NeverMatches


def find_unmatched(configuration):
    """Return a `NeverMatches` for each entry that no request can meet.

    :param configuration: the `ServingConfiguration`.
    """
    return [
        *_unmatched_routes(configuration),
        *_unmatched_splits(configuration),
        *_unmatched_services(configuration),
        *_workspaces_without_keys(configuration),
    ]


def _unmatched_routes(configuration):
    first_by_place = {}
    for index, route in enumerate(configuration.routes):
        entry = Entry(EntryKind.ROUTE, route.name, index)
        place = (route.host.lower(), route.path_prefix)
        first = first_by_place.setdefault(place, route)
        if not route.path_prefix.startswith("/"):
            yield NeverMatches(entry, "its path prefix does not begin with a slash")
        elif "?" in route.path_prefix:
            yield NeverMatches(
                entry, "its path prefix has a query, which is not matched"
            )
        elif not route.host.strip() or route.host != route.host.strip():
            yield NeverMatches(entry, "no caller sends its host")
        elif first is not route:
            reason = f'route "{first.name}" has the same host and path prefix'
            yield NeverMatches(entry, reason)
        elif route.needs_key and configuration.workspaces_by_key == {}:
            yield NeverMatches(entry, "it needs a key, and no workspace has one")


def _unmatched_splits(configuration):
    services = configuration.services_by_name
    for index, route in enumerate(configuration.routes):
        entry = Entry(EntryKind.ROUTE, route.name, index)
        for split in route.splits:
            service = services.get(split.service)
            if service is None:
                reason = f'there is no service "{split.service}"'
                yield NeverMatches(entry, reason)
            elif len(route.splits) > 1 and split.weight <= 0:
                reason = f'service "{split.service}" has no weight'
                yield NeverMatches(entry, reason)
            elif route.carries_model and service.engine is None:
                reason = f'service "{split.service}" has no models'
                yield NeverMatches(entry, reason)
            elif not route.carries_model and service.engine is not None:
                reason = f'service "{split.service}" serves only requests with a model'
                yield NeverMatches(entry, reason)


def _unmatched_services(configuration):
    used = {split.service for route in configuration.routes for split in route.splits}
    for index, service in enumerate(configuration.services_by_name.values()):
        entry = Entry(EntryKind.SERVICE, service.name, index)
        if service.name not in used:
            yield NeverMatches(entry, "no route leads to it")
        elif service.engine is not None and not service.engine.models:
            yield NeverMatches(entry, "its engine has no models")


def _workspaces_without_keys(configuration):
    if configuration.workspaces_by_key is None:
        return
    named = set(configuration.workspaces_by_key.values())
    for index, name in enumerate(configuration.workspaces):
        if name not in named:
            entry = Entry(EntryKind.WORKSPACE, name, index)
            reason = "it has no key, or another workspace has the same keys"
            yield NeverMatches(entry, reason)

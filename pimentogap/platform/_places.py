"""Names the places of a configuration document as the document spells them."""

from pimentogap.checks import EntryKind

LISTS_BY_KIND = {
    EntryKind.ROUTE: "routes",
    EntryKind.SERVICE: "services",
    EntryKind.WORKSPACE: "tenants",
    EntryKind.LIMITS: "limits",
}


def describe_place(entry):
    """Return where an `Entry` of a configuration stands in its document."""
    place = LISTS_BY_KIND[entry.kind]
    if entry.index is not None:
        place += f"[{entry.index}]"
    return f'{place} "{entry.name}"' if entry.name else place

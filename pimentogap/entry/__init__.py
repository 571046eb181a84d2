"""The HTTP front end for callers."""

from pimentogap.entry._service import EntryService

__all__ = ["EntryService"]

"""Notices that the process was paused, and holds requests until it is up to date."""

from pimentogap.pauses._service import PauseService

__all__ = ["PauseService"]

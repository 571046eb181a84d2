"""Keeps the newest configuration in force."""

import asyncio

from logbook import Logger

from pimentogap.directory._follow import follow
from pimentogap.errors import InvalidDocument
from pimentogap.kernel import RestartOnError

log = Logger("directory.configuration")


class ServingConfigurationService:
    """Holds the configuration in force, which never goes back to an older version."""

    name = "serving_configuration"
    requires = ("store",)
    __slots__ = ("current", "changed", "_collection", "_object", "_decode", "_clock")

    def __init__(self, collection, object_name, decode):
        """Follow the object ``object_name`` of ``collection``.

        :param decode: turns its value into a `ServingConfiguration`.
        """
        self.current = None
        self.changed = asyncio.Event()
        self._collection = collection
        self._object = object_name
        self._decode = decode
        self._clock = None

    async def start(self, kernel):
        """Begin to follow the configuration."""
        self._clock = kernel.clock
        kernel.spawn(
            self.name,
            follow,
            kernel,
            self._collection,
            self._apply,
            on_error=RestartOnError(),
        )

    async def stop(self):
        """Do nothing; the kernel ends the task."""

    def _apply(self, followed):
        stored = followed.objects + tuple(
            change.stored for change in followed.changes if not change.removed
        )
        for item in stored:
            if item.name == self._object:
                self._take(item)

    def _take(self, stored):
        try:
            newer = self._decode(stored.value)
        except InvalidDocument as error:
            log.error(
                "configuration not readable, the last one stays in force",
                rev=stored.version,
                error=str(error),
            )
            return
        if self.current is not None and newer.version <= self.current.version:
            return
        log.info(
            "configuration in force",
            version=newer.version,
            rev=stored.version,
            routes=len(newer.routes),
        )
        self.current = newer
        self.changed.set()
        self.changed = asyncio.Event()

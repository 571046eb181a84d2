"""Keeps the newest configuration in force."""

from logbook import Logger

from pimentogap.errors import InvalidDocument

log = Logger("directory.configuration")


class ServingConfigurationService:
    """Holds the configuration in force, which never goes back to an older version."""

    name = "serving_configuration"
    requires = ("relay",)
    __slots__ = ("current", "_collection", "_object", "_decode")

    def __init__(self, collection, object_name, decode):
        """Follow the object ``object_name`` of ``collection``.

        :param decode: turns its value into a `ServingConfiguration`.
        """
        self.current = None
        self._collection = collection
        self._object = object_name
        self._decode = decode

    async def start(self, kernel):
        """Begin to follow the configuration."""
        kernel.get("relay").follow(self._collection, self._apply)

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

"""The service that holds the newest serving configuration."""

from logbook import Logger

from pimentogap.errors import InvalidDocument

log = Logger("directory.configuration")


class ServingConfigurationService:
    """Holds the configuration in force and never goes back to an older version."""

    name = "serving_configuration"
    requires = ("relay",)
    __slots__ = ("current", "_collection", "_object_name", "_decode")

    def __init__(self, collection, object_name, decode):
        """Name the object that holds the configuration.

        :param collection: the collection of the object.
        :param object_name: the name of the object.
        :param decode: a function that returns the `ServingConfiguration` of the
            object's value or raises `InvalidDocument`.
        """
        self.current = None
        self._collection = collection
        self._object_name = object_name
        self._decode = decode

    async def start(self, kernel):
        """Follow the collection through the relay service."""
        kernel.get("relay").follow(self._collection, self._apply)

    async def stop(self):
        """Do nothing; the relay service owns the task."""

    def _apply(self, update):
        stored = update.objects + tuple(
            change.stored for change in update.changes if not change.removed
        )
        for item in stored:
            if item.name == self._object_name:
                self._put_in_force(item)

    def _put_in_force(self, stored):
        try:
            configuration = self._decode(stored.value)
        except InvalidDocument as error:
            log.error(
                "configuration not readable, the last one stays in force",
                rev=stored.version,
                error=str(error),
            )
            return
        if self.current is not None and configuration.version <= self.current.version:
            return
        log.info(
            "configuration in force",
            version=configuration.version,
            rev=stored.version,
            routes=len(configuration.routes),
        )
        self.current = configuration

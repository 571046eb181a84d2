"""Follows a collection of the store while a daemon is one of its watchers."""

from logbook import Logger

from pimentogap.errors import StoreError, WatchCompacted

log = Logger("store.follow")

IDLE_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.25


async def follow_collection(clock, read_newer, *, is_wanted):
    """Call ``read_newer`` repeatedly with the revision that it last returned.

    :param read_newer: a coroutine function that reads what follows a revision, or
        everything if it gets ``None``, and returns the revision read up to.
    :param is_wanted: a function that returns whether this daemon follows the
        collection at present.
    """
    revision = None
    while True:
        if not is_wanted():
            revision = None
            await clock.sleep(IDLE_INTERVAL_S)
            continue
        try:
            revision = await read_newer(revision)
        except WatchCompacted:
            revision = None
        except StoreError as error:
            log.debug("newer changes cannot be read from the store: {}", error)
            await clock.sleep(RETRY_DELAY_S)

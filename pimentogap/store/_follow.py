"""Follows a collection of the store for as long as a daemon is to."""

from logbook import Logger

from pimentogap.errors import StoreError, WatchCompacted

log = Logger("store.follow")

REST_S = 0.5
RETRY_DELAY_S = 0.25


async def follow_collection(clock, read_newer, *, is_wanted):
    """Call ``read_newer`` again and again with the revision that it last returned.

    :param read_newer: a coroutine function; it gets ``None`` when everything is
        to be read anew, and returns the revision that it has read up to.
    :param is_wanted: tells whether this daemon is to follow at present.
    """
    revision = None
    while True:
        if not is_wanted():
            revision = None
            await clock.sleep(REST_S)
            continue
        try:
            revision = await read_newer(revision)
        except WatchCompacted:
            revision = None
        except StoreError as error:
            log.debug("the store is not followed: {}", error)
            await clock.sleep(RETRY_DELAY_S)

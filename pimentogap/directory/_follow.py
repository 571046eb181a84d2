"""Follows one collection of the platform's store, for as long as a daemon runs."""

from dataclasses import dataclass

from logbook import Logger

from pimentogap.errors import StoreError, WatchCompacted

log = Logger("directory.follow")

# Changes within this time of each other cost one call instead of several.
BATCH_S = 0.15
WATCH_WAIT_S = 20.0
RETRY_DELAY_S = 0.25
RETRY_LIMIT_S = 1.0


@dataclass(frozen=True, slots=True)
class Followed:
    """What one read gave: all objects, if ``whole``, or the changes since the last.

    ``regained_s`` is how long ago the store came back, if it had been away.
    """

    whole: bool
    changes: tuple
    objects: tuple
    revision: int
    regained_s: float


async def follow(kernel, collection, apply, *, batch_s=BATCH_S):
    """Call ``apply`` with each `Followed` of ``collection``, without end.

    A list that is older than what was applied before is not applied.

    :param apply: a function; it is called first with a whole list.
    :param batch_s: seconds between the end of a watch and the next one.
    """
    store = kernel.get("store")
    clock = kernel.clock
    revision = None
    newest = 0
    lost_at = None
    delay_s = RETRY_DELAY_S
    while True:
        try:
            if revision is None:
                objects, revision = await store.list(collection)
                if revision >= newest:
                    newest = revision
                    back_s = clock.time() - store.regained_at
                    apply(Followed(True, (), tuple(objects), revision, back_s))
            else:
                page = await store.watch(collection, revision, WATCH_WAIT_S)
                revision = page.revision
                newest = max(newest, revision)
                if page.items:
                    back_s = clock.time() - store.regained_at
                    apply(Followed(False, page.items, (), revision, back_s))
            if lost_at is not None:
                away_s = round(clock.time() - lost_at, 3)
                log.notice("store regained", collection=collection, away_s=away_s)
                lost_at = None
            delay_s = RETRY_DELAY_S
            await clock.sleep(batch_s)
        except WatchCompacted:
            log.info("history gone, reading anew", collection=collection, rev=revision)
            revision = None
        except StoreError as error:
            if lost_at is None:
                lost_at = clock.time()
                log.warning("store lost", collection=collection, error=str(error))
            await clock.sleep(delay_s * kernel.random.uniform(0.7, 1.3))
            delay_s = min(RETRY_LIMIT_S, delay_s * 1.5)

"""Rate and concurrency limits: token buckets, fair queues, early refusals."""

from pimentogap.limits._bucket import ShareBucket
from pimentogap.limits._queue import FairQueue
from pimentogap.limits._service import LimitService

__all__ = ["FairQueue", "LimitService", "ShareBucket"]

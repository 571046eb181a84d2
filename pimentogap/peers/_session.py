"""One open session between two daemons."""

import asyncio


class PeerSession:
    """One open session: entries that wait to be sent, and unanswered pings.

    ``pending_by_member_id`` holds records that are sent with the next ping. A
    record that the peer sends before that is dropped from it.
    ``pings_sent_by_number`` holds the times at which unanswered pings were sent.
    """

    __slots__ = (
        "peer_id",
        "outbox",
        "pending_by_member_id",
        "wake",
        "last_pong_at",
        "pings_sent_by_number",
    )

    def __init__(self):
        self.peer_id = None
        self.outbox = []
        self.pending_by_member_id = {}
        self.wake = asyncio.Event()
        self.last_pong_at = None
        self.pings_sent_by_number = {}

    def post(self, entry):
        """Queue ``entry`` and wake the sender, which sends it at once."""
        self.outbox.append(entry)
        self.wake.set()

    def post_with_next_ping(self, member):
        """Queue a daemon's record to be sent with the next ping."""
        self.pending_by_member_id[member.id] = member

    def discard_known(self, member):
        """Drop the pending record that ``member``, received from the peer, covers."""
        pending = self.pending_by_member_id.get(member.id)
        if pending is not None and pending.precedence() <= member.precedence():
            del self.pending_by_member_id[member.id]

    def flush_pending(self):
        """Queue the records that waited for the next ping."""
        self.outbox.extend(self.pending_by_member_id.values())
        self.pending_by_member_id.clear()

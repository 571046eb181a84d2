"""One open session between two daemons."""

import asyncio


class PeerSession:
    """One open session: what waits to be sent, and when the other last spoke.

    ``due_by_member`` holds records that may wait for the next ping; one that the
    other side sends meanwhile need not be sent to it.
    """

    __slots__ = (
        "peer_id",
        "outbox",
        "due_by_member",
        "wake",
        "last_pong_at",
        "pings_sent_by_number",
    )

    def __init__(self):
        self.peer_id = None
        self.outbox = []
        self.due_by_member = {}
        self.wake = asyncio.Event()
        self.last_pong_at = None
        self.pings_sent_by_number = {}

    def post(self, entry):
        """Queue ``entry`` for the next frame, which is sent at once."""
        self.outbox.append(entry)
        self.wake.set()

    def post_with_ping(self, member):
        """Queue a record of a daemon for the frame of the next ping."""
        self.due_by_member[member.id] = member

    def heard(self, member):
        """Note that the other side knows ``member``."""
        due = self.due_by_member.get(member.id)
        if due is not None and due.newness() <= member.newness():
            del self.due_by_member[member.id]

    def take_due(self):
        """Move what waited for the ping into the next frame."""
        self.outbox.extend(self.due_by_member.values())
        self.due_by_member.clear()

"""Ends model groups: those that cannot serve, and those that give back spares."""

from pimentogap.types import BackendState, CloseGroup, LeaveGroup, MemberState

SERVING_STATES = (MemberState.OPEN, MemberState.CLOSING)
DISSOLVING_WAIT_S = 1.0


class GroupEndings:
    """Sends the orders that end a group, and knows who has just been told to leave."""

    __slots__ = ("_clock", "_orders", "_losses", "_dissolving_since_by_key")

    def __init__(self, clock, orders, losses):
        """Send through ``orders``; ``losses`` tells which members are lost."""
        self._clock = clock
        self._orders = orders
        self._losses = losses
        self._dissolving_since_by_key = {}

    def dissolving_domains(self, groups, now):
        """Return the domains in which members are just leaving a dissolved group.

        These members hold the weights, so a repair waits for them for a moment
        instead of using spares.
        """
        since_by_key = self._dissolving_since_by_key
        for key in [key for key in since_by_key if key not in groups]:
            del since_by_key[key]
        return {
            member.domain
            for key, since in since_by_key.items()
            if now - since < DISSOLVING_WAIT_S
            for member in groups[key].members_by_rank.values()
            if not self._losses.is_lost(member.id)
        }

    def dissolve(self, group):
        """Order the members of a group that cannot serve to leave it.

        An open head is closed first. If a member drains and none is lost, running
        requests may end before anyone leaves; else the head is closed with
        ``preempt``, and the other members leave without waiting for it. No member
        joins another group before the backend list shows that it has left: the list
        may be older than the state of the head, and a head that is not listed may
        still be open.
        """
        now = self._clock.time()
        self._dissolving_since_by_key.setdefault((group.name, group.epoch), now)
        members = group.members_by_rank.values()
        lost = any(self._losses.is_lost(item.id) for item in members)
        draining = any(item.state is BackendState.DRAINING for item in members)
        head = group.head
        if head is not None and not self._losses.is_lost(head.id):
            if head.membership.state is MemberState.OPEN:
                preempt = lost or not draining
                self._orders.send(head, CloseGroup(group.name, group.epoch, preempt))
                if not preempt:
                    return
            elif head.membership.state is MemberState.CLOSING and not lost:
                return
        for member in members:
            if self._losses.is_lost(member.id) or (
                member is head and head.membership.state in SERVING_STATES
            ):
                continue
            self._orders.send(member, LeaveGroup(group.name, group.epoch))

    def give_back(self, group):
        """Close a complete group once its requests have ended, and let it leave."""
        head = group.head
        if head.membership.state is MemberState.OPEN:
            self._orders.send(head, CloseGroup(group.name, group.epoch, False))
            return
        for member in group.members_by_rank.values():
            self._orders.send(member, LeaveGroup(group.name, group.epoch))

"""This entry VM's view of the other VMs, and its reactions to changes."""

from __future__ import annotations

from collections.abc import Callable

from coriandershelf_core.internal.admission.stopping import begin_stop
from coriandershelf_core.internal.membership.gossip import Gossip, SendMessage
from coriandershelf_core.internal.membership.membership import Membership
from coriandershelf_core.internal.routing.dispatcher import Dispatcher
from coriandershelf_core.internal.routing.loads import LoadDigest, LoadTable
from coriandershelf_core.internal.routing.stale_state import StaleStateGuard
from coriandershelf_core.internal.vocabulary.context import Context
from coriandershelf_core.internal.vocabulary.events import LoadReported, VmState, VmStatus
from coriandershelf_core.internal.vocabulary.messages import (
    Heartbeat,
    LeavingNotices,
    LeavingQuery,
    Message,
    ZoneSum,
)
from coriandershelf_core.internal.vocabulary.reasons import Counter

OnPeerVersion = Callable[[str, int, float], None]


class FleetView:
    """Connects membership, loads, gossip and the hold after a pause with request serving.

    :param send_message: sends a message to a peer.
    :param on_peer_version: called with the configuration version of each heartbeat.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        dispatcher: Dispatcher,
        send_message: SendMessage,
        on_peer_version: OnPeerVersion,
    ) -> None:
        self._context = context
        self._membership = membership
        self._dispatcher = dispatcher
        self._send_message = send_message
        self._on_peer_version = on_peer_version
        self._marked_generation = 0
        self.stale_state_guard = StaleStateGuard(context)
        self.loads = LoadTable(context, membership)
        self.gossip = Gossip(context, membership, self.loads, send_message)

    def on_step(self, now_s: float) -> None:
        """Check for a jump of the clock before an event is applied."""
        if self.stale_state_guard.on_step(now_s):
            self.gossip.query_notices(now_s)

    def on_tick(self, version: int, now_s: float) -> None:
        """End expired holds, update VM states, poll loads and send heartbeats."""
        if self.stale_state_guard.on_tick(now_s):
            self._dispatcher.dispatch_waiting(now_s)
        self._membership.on_tick(now_s)
        self._mark_changes()
        self.loads.on_tick(now_s)
        self.gossip.on_tick(version, now_s)

    def on_vm_list(self, vms: tuple[VmStatus, ...], now_s: float) -> None:
        """Merge the platform's list of VMs."""
        self._membership.on_vm_list(vms, now_s)
        peers = [peer.vm_id for peer in self._membership.peers(self._context.identity)]
        ids = tuple(sorted([*peers, self._context.identity.vm_id]))
        self._dispatcher.limits.set_entry_vms(ids)
        self._mark_changes()

    def on_notices(self, notices: list[tuple[str, float]], now_s: float) -> int:
        """Apply reclaim notices and forward new ones; return the number of new ones.

        :param notices: ids of VMs and the times at which they will be reclaimed.
        """
        new_notices = [item for item in notices if self.gossip.add_notice(*item, now_s)]
        for vm_id, at_s in new_notices:
            self._on_notice(vm_id, at_s, now_s)
        if new_notices:
            self._context.count(Counter.NOTICES, len(new_notices))
            self._mark_changes()
            self.gossip.forward_notices(new_notices)
        return len(new_notices)

    def on_refreshed(self, asked_at_s: float, now_s: float) -> None:
        """Resume dispatching once the platform or a peer has sent its notices."""
        if self.stale_state_guard.on_refreshed(asked_at_s):
            self._dispatcher.dispatch_waiting(now_s)

    def on_load(self, event: LoadReported) -> None:
        """Apply a replica's load report, received directly or in a digest."""
        self._membership.on_heard(event.replica_id, event.reported_at_s)
        if self.loads.on_report(event):
            self._dispatcher.on_load(event)

    def on_message(self, sender: str, message: Message, now_s: float) -> None:
        """Handle a peer's message if it concerns membership; ignore others."""
        match message:
            case Heartbeat():
                self._on_heartbeat(sender, message, now_s)
            case ZoneSum():
                self.gossip.on_zone_sum(message)
            case LeavingNotices():
                self._on_leaving_notices(message, now_s)
            case LeavingQuery():
                self._send_message(sender, self.gossip.answer_leaving_query(message))
            case _:
                pass

    def mark_replicas(self) -> None:
        """Set on every replica whether its VM is leaving or gone."""
        for state in self._dispatcher.replicas:
            vm_state = self._membership.state_of(state.replica.replica_id)
            state.leaving = vm_state is VmState.LEAVING
            state.gone = vm_state is VmState.GONE

    def _mark_changes(self) -> None:
        if self._membership.generation != self._marked_generation:
            self._marked_generation = self._membership.generation
            self.mark_replicas()

    def _on_notice(self, vm_id: str, at_s: float, now_s: float) -> None:
        if vm_id != self._context.identity.vm_id:
            self._membership.on_notice(vm_id, at_s, now_s)
            state = self._dispatcher.replicas.get(vm_id)
            if state is not None and at_s > now_s:
                state.announce_leave(at_s, now_s)
        elif at_s > now_s:
            # A notice whose time has passed was for an earlier VM of the same name.
            begin_stop(self._context, at_s, False, now_s)

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat, now_s: float) -> None:
        self.gossip.on_heartbeat(heartbeat, now_s)
        self._on_peer_version(sender, heartbeat.version, now_s)
        digest = LoadDigest(
            heartbeat.inventory_version,
            heartbeat.load_indexes,
            heartbeat.load_running_counts,
            heartbeat.load_waiting_counts,
            heartbeat.load_age_steps,
        )
        for report in self.loads.decode_digest(digest, now_s):
            self.on_load(report)
        self._mark_changes()

    def _on_leaving_notices(self, message: LeavingNotices, now_s: float) -> None:
        new_count = self.on_notices(list(zip(message.vm_ids, message.at_s, strict=True)), now_s)
        if new_count:
            self._context.count(Counter.NOTICES_FROM_PEER, new_count)
        if message.asked_at_s:
            self.on_refreshed(message.asked_at_s, now_s)

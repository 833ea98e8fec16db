"""Until when a pool's owner grants leases, and when those before have ended.

Both follow from the same facts. An owner grants leases

* for a short time after the store has last confirmed its epoch, or
* as long as a majority of its witnesses says that the store has not replied to
  them since that confirmation, up to a limit.

A successor claims the pool in the store, so it has contact later than that
confirmation. Once half of the witnesses have had contact after the claim, the
former owner can't get a majority again. A witness that does not reply is no
evidence for either side.
"""

from coltsfootseam.manager.context import Context
from coltsfootseam.manager.leases.store_contacts import StoreContacts
from coltsfootseam.manager.leases.witnesses import (
    MAX_VOUCHED_S,
    NO_WITNESSES,
    UNKNOWN_WITNESSES,
    FormerOwners,
    Witnesses,
    WitnessSet,
    deniers_needed,
    encode_witnesses,
    vouchers_needed,
    witness_key,
)
from coltsfootseam.store import Journal, KeyedRecord
from coltsfootseam.workers import max_lease_duration_s

_PEER_ROUND_S = 0.8
"""How long a host may need, from the isolation timeout, to hear from its peers
that it alone is cut off. Until then its owners need no witness."""

_VOUCH_VALIDITY_S = 1.0
"""How long a witness's reply counts, from the request for it."""

_CONTACT_TOLERANCE_S = 1.2
"""How much later than the owner's last confirmation a witness may have had
contact. An owner confirms its epoch less often than hosts read the store, so in
an outage the last contact of the others is later."""

_MAX_CLOCK_DRIFT = 0.02
"""How much faster a successor's clock may run than that of the owner before."""

_ASK_AFTER_S = 1.0
"""Age of a confirmation at which an owner begins to ask its witnesses."""

_MEMBERS_SETTLE_S = 1.0
"""How long the members must be the same before they become the witnesses. After
an outage some are missing until their next join."""

_LIMIT_STORED_EVERY_S = 2.0
"""How much less the earlier owners' limit must be to be stored again. The next
owner may have to wait that much longer than this one."""

_NOTHING_STORED = Witnesses(NO_WITNESSES)


class PoolLeases:
    """The right of one owner of a pool to grant leases to its workers."""

    __slots__ = (
        "_candidates",
        "_candidates_since_s",
        "_contacts",
        "_context",
        "_denied_s_by_set",
        "_former",
        "_has_logged_end",
        "_has_stopped",
        "_has_stored",
        "_journal",
        "_may_grant",
        "_pool",
        "_stored",
        "_storing",
    )

    def __init__(
        self,
        pool: str,
        context: Context,
        journal: Journal,
        contacts: StoreContacts,
        former: FormerOwners,
    ) -> None:
        """Makes the right of an owner that has just claimed its pool.

        Args:
            pool: Name of the pool.
            context: Shared context of the manager.
            journal: The pool's journal, claimed by this owner.
            contacts: When the store last replied to each host.
            former: The owners before, as stored.
        """
        self._pool = pool
        self._context = context
        self._journal = journal
        self._contacts = contacts
        self._former = former
        self._denied_s_by_set: dict[WitnessSet, float] = {}
        self._has_logged_end = False
        self._has_stopped = False
        self._has_stored = False
        self._may_grant = True
        self._candidates: WitnessSet = frozenset()
        self._candidates_since_s = context.timers.now_s()
        # The witnesses as stored, and as in the last append, which may be in
        # flight. Either may be what a successor reads, so both must vouch.
        self._stored = _NOTHING_STORED
        self._storing = _NOTHING_STORED

    def may_grant(self) -> bool:
        """Returns whether this owner may grant leases now."""
        may_grant = (
            not self._has_stopped
            and not self.must_store()
            and not self._journal.is_lost
            and self._is_confirmed_or_vouched()
        )
        if may_grant != self._may_grant:
            self._may_grant = may_grant
            self._log_right(may_grant)
        return may_grant

    def have_earlier_ended(self) -> bool:
        """Returns whether all leases of earlier owners have ended."""
        lease_s = max_lease_duration_s(self._context.times.lease_s)
        has_ended = self._now_s() > self.earlier_stopped_s() + lease_s
        if has_ended and not self._has_logged_end:
            self._has_logged_end = True
            self._log_end()
        return has_ended

    def earlier_stopped_s(self) -> float:
        """Returns when earlier owners stop granting leases at the latest."""
        claimed_s = self._journal.claimed_s
        # Without a vote, an owner grants leases for a while after its last
        # confirmation, unless it has recorded that it stopped.
        stopped_s = [claimed_s]
        if not self._former.has_last_stopped:
            stopped_s.append(claimed_s + self._unvouched_s())
        for witnesses, limit_s in self._former.limits_by_witnesses.items():
            limit_end_s = claimed_s + limit_s * (1 + _MAX_CLOCK_DRIFT)
            denied_s = self._denied_s_by_set.get(witnesses, float("inf"))
            stopped_s.append(min(limit_end_s, denied_s + _VOUCH_VALIDITY_S))
        return max(stopped_s)

    def last_called_s(self, instance_id: str) -> float:
        """Returns when earlier owners called a worker at the latest.

        An owner that has stopped may have recorded that it had no link to the
        worker, and for how long that and the owners before it go back.
        """
        uncalled_s = self._former.uncalled_s.get(instance_id)
        if uncalled_s is None:
            return self.earlier_stopped_s()
        return self._journal.claimed_s - uncalled_s * (1 - _MAX_CLOCK_DRIFT)

    def addresses_to_ask(self) -> set[str]:
        """Returns the hosts whose contact with the store matters now."""
        addresses: set[str] = set()
        if self._confirmed_age_s() > _ASK_AFTER_S:
            addresses.update(*self._own_sets())
        is_open = not self._have_earlier_stopped()
        if is_open and self._now_s() > self._denial_from_s():
            addresses.update(
                *(
                    self._former.limits_by_witnesses.keys()
                    - self._denied_s_by_set
                )
            )
        return addresses - {self._context.address}

    def update(self, members: WitnessSet) -> None:
        """Applies new contacts and the members of the group, as last read.

        Args:
            members: Addresses of the members, empty if unknown.
        """
        now_s = self._now_s()
        if members != self._candidates:
            self._candidates = members
            self._candidates_since_s = now_s
        for witnesses in (
            self._former.limits_by_witnesses.keys() - self._denied_s_by_set
        ):
            denied_s = self._find_denied_s(witnesses)
            if denied_s is not None:
                self._denied_s_by_set[witnesses] = denied_s

    def must_store(self) -> bool:
        """Returns whether the record still says that the last owner stopped.

        The next owner would take it for word of this one.
        """
        return self._former.has_last_stopped and not self._has_stored

    def record_to_store(self) -> KeyedRecord | None:
        """Returns the record of the witnesses if the stored one is outdated.

        The caller stores it with the journal's next append, and then calls
        `confirm_stored`.
        """
        same_s = self._now_s() - self._candidates_since_s
        own = self._stored.own
        # The first ones are stored at once: without any, an outage of the store
        # would stop the pool's work.
        if self._candidates and (not own or same_s >= _MEMBERS_SETTLE_S):
            own = self._candidates
        witnesses = self._witnesses_for_next(own)
        is_up_to_date = not own or self._is_stored(witnesses)
        if is_up_to_date and not self.must_store():
            return None
        self._storing = witnesses
        return KeyedRecord(witness_key(self._pool), encode_witnesses(witnesses))

    def _witnesses_for_next(self, own: WitnessSet) -> Witnesses:
        """Returns what the next owner has to know of this and earlier ones."""
        if self._have_earlier_stopped():
            return Witnesses(own)
        limit_s = self.earlier_stopped_s() - self._now_s()
        return Witnesses(
            own, frozenset(self._former.limits_by_witnesses), limit_s
        )

    def _is_stored(self, witnesses: Witnesses) -> bool:
        """Returns whether the stored record says the same, or nearly so."""
        stored = self._stored
        if (stored.own, stored.earlier) != (witnesses.own, witnesses.earlier):
            return False
        if not witnesses.earlier:
            return True
        gain_s = stored.earlier_limit_s - witnesses.earlier_limit_s
        return gain_s < _LIMIT_STORED_EVERY_S

    def stop(self) -> None:
        """Grants no more leases."""
        self._has_stopped = True

    def release_record(
        self, called_s_by_instance: dict[str, float]
    ) -> KeyedRecord:
        """Returns the record that tells the next owner that this one stopped.

        The next owner then doesn't have to wait until the witnesses of this one
        can't vouch for it any more.

        Args:
            called_s_by_instance: When workers without a link were called last,
                in monotonic seconds, see ``WorkerLives.last_calls``.
        """
        now_s = self._now_s()
        limit_s = self.earlier_stopped_s() - now_s
        earlier: frozenset[WitnessSet] = frozenset()
        if limit_s >= 0:
            # Earlier owners may go on even without any witness.
            earlier = frozenset(self._former.limits_by_witnesses) or frozenset(
                [UNKNOWN_WITNESSES]
            )
        witnesses = Witnesses(
            NO_WITNESSES,
            earlier,
            max(0.0, limit_s),
            has_stopped=True,
            uncalled_s={
                instance_id: now_s - called_s
                for instance_id, called_s in called_s_by_instance.items()
                if called_s < now_s
            },
        )
        return KeyedRecord(witness_key(self._pool), encode_witnesses(witnesses))

    def confirm_stored(self) -> None:
        """Records that the last record of the witnesses is stored."""
        self._has_stored |= self._storing is not _NOTHING_STORED
        self._stored = self._storing

    def _now_s(self) -> float:
        return self._context.timers.now_s()

    def _confirmed_age_s(self) -> float:
        return self._now_s() - self._journal.confirmed_s

    def _unvouched_s(self) -> float:
        """Returns how long an owner grants leases without any witness.

        It counts from the send time of the last call that the store accepted
        under the owner's epoch.
        """
        return self._context.times.isolation_s + _PEER_ROUND_S

    def _own_sets(self) -> set[WitnessSet]:
        return {self._stored.own, self._storing.own}

    def _is_confirmed_or_vouched(self) -> bool:
        age_s = self._confirmed_age_s()
        if age_s <= self._unvouched_s():
            return True
        return age_s <= MAX_VOUCHED_S and all(
            len(self._vouchers(witnesses)) >= vouchers_needed(witnesses)
            for witnesses in self._own_sets()
        )

    def _vouchers(self, witnesses: WitnessSet) -> list[str]:
        """Returns who had no contact since this owner's last confirmation."""
        asked_after_s = self._now_s() - _VOUCH_VALIDITY_S
        contact_until_s = self._journal.confirmed_s + _CONTACT_TOLERANCE_S
        return [
            address
            for address in sorted(witnesses)
            if (contact := self._contacts.of(address)) is not None
            and contact.asked_s >= asked_after_s
            and contact.latest_s <= contact_until_s
        ]

    def _denial_from_s(self) -> float:
        """Returns from when on contact rules out vouching for earlier owners.

        The store has confirmed their epochs before the claim for the last time.
        """
        return self._journal.claimed_s + _CONTACT_TOLERANCE_S

    def _find_denied_s(self, witnesses: WitnessSet) -> float | None:
        """Returns when witnesses could give no owner a majority any more.

        Returns:
            ``None`` if that isn't known yet.
        """
        contacts_s = self._denying_contacts_s(witnesses)
        needed = deniers_needed(witnesses)
        if len(contacts_s) < needed:
            return None
        return max([self._journal.claimed_s, *contacts_s[:needed]])

    def _denying_contacts_s(self, witnesses: WitnessSet) -> list[float]:
        """Returns when the witnesses that deny had contact, earliest first."""
        denial_from_s = self._denial_from_s()
        return sorted(
            contact.latest_s
            for address in witnesses
            if (contact := self._contacts.of(address)) is not None
            and contact.earliest_s > denial_from_s
        )

    def _have_earlier_stopped(self) -> bool:
        return self._now_s() > self.earlier_stopped_s()

    def _log_right(self, may_grant: bool) -> None:
        event = "pool.leases_resumed" if may_grant else "pool.leases_paused"
        own_sets = sorted(self._own_sets(), key=sorted)
        self._context.log.write(
            event,
            pool=self._pool,
            epoch=self._journal.epoch,
            confirmed_age_s=round(self._confirmed_age_s(), 2),
            witnesses=[sorted(witnesses) for witnesses in own_sets],
            vouchers=[self._vouchers(witnesses) for witnesses in own_sets],
        )
        self._context.counters.increment(event)

    def _log_end(self) -> None:
        claimed_s = self._journal.claimed_s
        self._context.log.write(
            "pool.previous_leases_ended",
            pool=self._pool,
            epoch=self._journal.epoch,
            waited_s=round(self._now_s() - claimed_s, 2),
            denied_after_s=sorted(
                round(denied_s - claimed_s, 2)
                for denied_s in self._denied_s_by_set.values()
            ),
            witnesses=sorted(
                sorted(witnesses)
                for witnesses in self._former.limits_by_witnesses
            ),
            limits_s=sorted(
                round(limit_s, 2)
                for limit_s in self._former.limits_by_witnesses.values()
            ),
        )

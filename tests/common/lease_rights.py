"""Owners of one pool at hosts of a model network, without messages."""

import random

import msgspec

from coltsfootseam.manager.leases.pool_leases import PoolLeases
from coltsfootseam.manager.leases.store_contacts import (
    StoreContact,
    StoreContacts,
)
from coltsfootseam.manager.leases.witnesses import (
    FormerOwners,
    decode_witnesses,
)
from coltsfootseam.scheduling import Policies
from coltsfootseam.store import Journal, KeyedRecord, Partition
from coltsfootseam.testbed.model.context import ModelTimers, make_context
from coltsfootseam.workers import max_lease_duration_s

STEP_S = 0.1
POOL = "p"
MAX_REPLY_STEPS = 4


class Reply(msgspec.Struct):
    """A witness's reply on its way to the host that asked."""

    address: str
    due_s: float
    asked_s: float
    age_s: float


class ModelContacts(StoreContacts):
    """What a model host knows of itself and has heard from others."""

    def __init__(self, host: "ModelHost", network: "ModelNetwork") -> None:
        super().__init__(network.context)
        self.host = host
        self.network = network
        self.replies: list[Reply] = []

    def of(self, address: str) -> StoreContact | None:
        """Returns the host's own contact or the latest reply."""
        if address != self.host.address:
            return self.by_address.get(address)
        now_s = self.network.now_s()
        last_s = now_s - self.host.age_s(now_s)
        return StoreContact(now_s, now_s - last_s, last_s, last_s)

    def receive(self) -> None:
        """Applies the replies that have arrived."""
        now_s = self.network.now_s()
        for reply in [item for item in self.replies if item.due_s <= now_s]:
            self.replies.remove(reply)
            self.by_address[reply.address] = StoreContact(
                reply.asked_s,
                reply.age_s,
                reply.asked_s - reply.age_s,
                now_s - reply.age_s,
            )


class ModelHost:
    """A host, with what it and others know of its contact with the store."""

    def __init__(self, number: int, network: "ModelNetwork") -> None:
        self.address = f"host-{number}"
        self.reaches_store = True
        self.started_s = 0.0
        self.last_reply_s = 0.0
        self.contacts = ModelContacts(self, network)

    def age_s(self, now_s: float) -> float:
        """Returns for how long the host can say that it had no contact."""
        return now_s - max(self.started_s, self.last_reply_s)


class ModelOwner:
    """An owner of the pool."""

    def __init__(self, host: ModelHost, network: "ModelNetwork") -> None:
        context = network.context
        self.host = host
        self.journal = Journal(
            context.ports.store, context.timers, Partition("j"), POOL, 1
        )
        former = FormerOwners()
        if network.record:
            former = decode_witnesses(network.record)
        self.leases = PoolLeases(
            POOL, context, self.journal, host.contacts, former
        )
        self.leased_until_s = 0.0
        self.appending: KeyedRecord | None = None


class ModelNetwork:
    """Hosts, the links between them and to the store, and all owners so far.

    Attributes:
        record: The stored record of the witnesses.
        owners: Owners in the order of their claims; the last one is current.
        cut_pairs: Pairs of addresses; the first one's calls don't arrive.
    """

    def __init__(self, hosts: int, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.timers = ModelTimers()
        self.context = make_context(self.timers, Policies())
        # No address of the model's own, so that `ModelContacts.of` decides.
        self.context.address = ""
        self.record = b""
        self.cut_pairs: set[tuple[str, str]] = set()
        self.hosts = [ModelHost(number, self) for number in range(hosts)]
        self.hosts_by_address = {host.address: host for host in self.hosts}
        self.owners: list[ModelOwner] = []
        self.is_reply_lost = False

    def now_s(self) -> float:
        """Returns the time on all clocks."""
        return self.timers.now_s()

    def claim(self, host: ModelHost) -> ModelOwner:
        """Claims the pool for a host."""
        owner = ModelOwner(host, self)
        self.owners.append(owner)
        return owner

    def hand_over(self, host: ModelHost) -> ModelOwner:
        """Has the current owner release the pool to a host that claims it."""
        current = self.owners[-1]
        if not current.journal.is_lost:
            current.leases.stop()
            if current.host.reaches_store:
                self.record = current.leases.release_record({}).value
            current.journal.is_lost = True
        return self.claim(host)

    def part(self, *groups: list[ModelHost]) -> None:
        """Cuts the groups of hosts off from each other."""
        group_by_address = {
            host.address: number
            for number, group in enumerate(groups)
            for host in group
        }
        self.cut_pairs = {
            (one, other)
            for one in self.hosts_by_address
            for other in self.hosts_by_address
            if group_by_address.get(one) != group_by_address.get(other)
        }

    def restart(self, host: ModelHost) -> None:
        """Restarts a host's process, which ends its ownership."""
        host.started_s = self.now_s()
        host.last_reply_s = float("-inf")
        host.contacts.by_address.clear()
        host.contacts.replies.clear()
        for owner in self.owners:
            if owner.host is host:
                owner.journal.is_lost = True

    def advance(self, duration_s: float) -> None:
        """Advances step by step and checks the leases of all owners."""
        for _ in range(round(duration_s / STEP_S)):
            self.timers.advance(STEP_S)
            for host in self.hosts:
                if host.reaches_store:
                    host.last_reply_s = self.now_s()
                host.contacts.receive()
            for owner in self.owners:
                self._run_owner(owner)
            self._check()

    def _run_owner(self, owner: ModelOwner) -> None:
        if owner.journal.is_lost:
            return
        is_current = owner is self.owners[-1]
        if owner.host.reaches_store and not is_current:
            owner.journal.is_lost = True
            return
        members = frozenset(
            host.address for host in self.hosts if host.reaches_store
        )
        # An append is repeated until it is answered, before any other one.
        if owner.appending is None:
            owner.appending = owner.leases.record_to_store()
        if owner.host.reaches_store:
            if owner.appending is not None:
                self.record = owner.appending.value
            if not self.is_reply_lost:
                owner.appending = None
                owner.journal.confirmed_s = self.now_s()
                owner.leases.confirm_stored()
        for address in sorted(owner.leases.addresses_to_ask()):
            self._ask(owner.host, address)
        owner.leases.update(
            members | {owner.host.address}
            if owner.host.reaches_store
            else frozenset()
        )

    def _ask(self, host: ModelHost, address: str) -> None:
        peer = self.hosts_by_address.get(address)
        if peer is None or peer is host:
            return
        if (host.address, address) in self.cut_pairs:
            return
        if (address, host.address) in self.cut_pairs:
            return
        now_s = self.now_s()
        host.contacts.replies.append(
            Reply(
                address,
                now_s + STEP_S * self.random.randint(0, MAX_REPLY_STEPS // 2),
                now_s - STEP_S * self.random.randint(0, MAX_REPLY_STEPS // 2),
                peer.age_s(now_s),
            )
        )

    def _check(self) -> None:
        now_s = self.now_s()
        lease_s = max_lease_duration_s(self.context.times.lease_s)
        for number, owner in enumerate(self.owners):
            if owner.leases.may_grant():
                owner.leased_until_s = now_s + lease_s
            if owner.leases.have_earlier_ended():
                for earlier in self.owners[:number]:
                    assert earlier.leased_until_s <= now_s, "lease in force"

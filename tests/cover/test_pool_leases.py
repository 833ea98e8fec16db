"""Until when owners grant leases, and when their successors rely on it."""

import random

import pytest

from coltsfootseam.manager.leases.witnesses import (
    UNKNOWN_WITNESSES,
    Witnesses,
    encode_witnesses,
)
from tests.common.lease_rights import ModelHost, ModelNetwork

OUTAGE_S = 20.0
UNVOUCHED_S = 2.5
SHORT_WAIT_S = 7.6
LONG_WAIT_S = 30.0
LEASE_S = 4.5
"""A lease of the fleet's default length, with the drift of clocks."""
MAX_HAND_OVER_COST_S = 6.0
"""What three hand-overs may add to that, 2 s each."""


def store_down(hosts: list[ModelHost]) -> None:
    for host in hosts:
        host.reaches_store = False


# Guards against an outage of the store that stops all work.
@pytest.mark.parametrize("hosts", range(1, 8))
def test_an_owner_goes_on_through_an_outage_of_the_whole_store(
    hosts: int,
) -> None:
    network = ModelNetwork(hosts)
    owner = network.claim(network.hosts[0])
    network.advance(5.0)
    store_down(network.hosts)
    for _ in range(round(OUTAGE_S)):
        network.advance(1.0)
        assert owner.leases.may_grant()


# Guards against leases beside a successor: the few hosts behind the same cut
# as the owner must not speak for those that don't reply.
@pytest.mark.parametrize("hosts", range(2, 8))
def test_an_owner_with_a_minority_stops(hosts: int) -> None:
    network = ModelNetwork(hosts)
    owner = network.claim(network.hosts[0])
    network.advance(5.0)
    minority = network.hosts[: hosts // 2]
    store_down(minority)
    network.part(minority, network.hosts[hosts // 2 :])
    network.advance(UNVOUCHED_S)
    assert not owner.leases.may_grant()


@pytest.mark.parametrize("hosts", range(2, 8))
def test_a_successor_of_a_cut_off_owner_waits_for_seconds_only(
    hosts: int,
) -> None:
    network = ModelNetwork(hosts)
    network.claim(network.hosts[0])
    network.advance(5.0)
    store_down(network.hosts[:1])
    network.part(network.hosts[:1], network.hosts[1:])
    network.advance(1.3)
    successor = network.claim(network.hosts[-1])
    network.advance(SHORT_WAIT_S)
    assert successor.leases.have_earlier_ended()


# Guards against a wait that begins anew with each owner's witnesses forgotten.
def test_a_second_successor_waits_for_the_first_owner_too() -> None:
    network = ModelNetwork(6)
    first = network.claim(network.hosts[0])
    network.advance(5.0)
    majority, rest = network.hosts[:4], network.hosts[4:]
    store_down(majority)
    network.part(majority, rest)
    network.advance(1.3)
    network.claim(rest[0])
    network.advance(5.0)
    last = network.claim(rest[1])
    assert first.leases.may_grant()
    network.advance(SHORT_WAIT_S)
    assert not last.leases.have_earlier_ended()
    network.advance(LONG_WAIT_S - SHORT_WAIT_S)
    assert last.leases.have_earlier_ended()


# A restarted witness has forgotten its contacts, so it may not vouch.
def test_a_restarted_witness_does_not_vouch() -> None:
    network = ModelNetwork(3)
    owner = network.claim(network.hosts[0])
    network.advance(5.0)
    store_down(network.hosts)
    network.advance(5.0)
    assert owner.leases.may_grant()
    network.restart(network.hosts[1])
    network.restart(network.hosts[2])
    network.advance(UNVOUCHED_S)
    assert not owner.leases.may_grant()


# Guards against a successor that waits for seconds where only the longest wait
# is safe: the witnesses are unknown.
def test_an_unreadable_record_of_witnesses_means_the_longest_wait() -> None:
    network = ModelNetwork(3)
    network.record = encode_witnesses(Witnesses(UNKNOWN_WITNESSES))
    owner = network.claim(network.hosts[0])
    network.advance(SHORT_WAIT_S)
    assert not owner.leases.have_earlier_ended()
    network.advance(LONG_WAIT_S - SHORT_WAIT_S)
    assert owner.leases.have_earlier_ended()


# Guards against any lease in force when a later owner takes it as ended, which
# the network checks in each step.
@pytest.mark.parametrize("seed", range(60))
def test_no_lease_outlives_its_successor_s_wait(seed: int) -> None:
    rng = random.Random(seed)
    network = ModelNetwork(rng.randint(2, 7), seed)
    hosts = network.hosts
    network.claim(rng.choice(hosts))
    for _ in range(60):
        network.advance(rng.choice([0.1, 0.4, 1.0, 2.0, 5.0, 9.0]))
        change = rng.random()
        if change < 0.3:
            side = [host for host in hosts if rng.random() < 0.5]
            network.part(side, [host for host in hosts if host not in side])
            for host in hosts:
                host.reaches_store = (host in side) is False
        elif change < 0.45:
            store_down(hosts)
        elif change < 0.6:
            network.part(hosts)
            for host in hosts:
                host.reaches_store = True
        elif change < 0.7:
            host = rng.choice(hosts)
            host.reaches_store = not host.reaches_store
        elif change < 0.8:
            network.restart(rng.choice(hosts))
        else:
            network.is_reply_lost = rng.random() < 0.2
        able = [host for host in hosts if host.reaches_store]
        current = network.owners[-1]
        is_due = not current.host.reaches_store or rng.random() < 0.1
        if able and (is_due or current.journal.is_lost):
            network.advance(rng.choice([0.1, 1.0, 1.5]))
            able = [host for host in able if host.reaches_store]
            network.claim(rng.choice(able))


# Guards against a wait that begins anew with each hand-over: most witnesses of
# an earlier owner were lost for good, so that each owner waits for the limit.
def test_a_hand_over_does_not_prolong_the_wait() -> None:
    network = ModelNetwork(6)
    network.claim(network.hosts[0])
    network.advance(5.0)
    lost, left = network.hosts[:4], network.hosts[4:]
    for host in lost:
        host.reaches_store = False
        network.restart(host)
    network.part(left, *([host] for host in lost))
    network.claim(left[0])
    waited_s = 0.0
    for number in range(2, 5):
        network.advance(7.0)
        waited_s += 7.0
        last = network.hand_over(left[number % 2])
    assert not last.leases.have_earlier_ended()
    network.advance(LONG_WAIT_S - waited_s + MAX_HAND_OVER_COST_S)
    assert last.leases.have_earlier_ended()


# Guards against a successor that waits for an owner that has stopped.
def test_a_hand_over_costs_one_lease_at_most() -> None:
    network = ModelNetwork(5)
    network.claim(network.hosts[0])
    network.advance(20.0)
    successor = network.hand_over(network.hosts[1])
    network.advance(LEASE_S)
    assert successor.leases.have_earlier_ended()


# As above, with hand-overs, whose record may be lost.
@pytest.mark.parametrize("seed", range(60))
def test_no_lease_outlives_the_wait_after_hand_overs(seed: int) -> None:
    rng = random.Random(seed)
    network = ModelNetwork(rng.randint(2, 7), seed)
    hosts = network.hosts
    network.claim(rng.choice(hosts))
    for _ in range(40):
        network.advance(rng.choice([0.1, 0.4, 1.0, 2.0, 5.0, 9.0]))
        change = rng.random()
        if change < 0.3:
            side = [host for host in hosts if rng.random() < 0.5]
            network.part(side, [host for host in hosts if host not in side])
            for host in hosts:
                host.reaches_store = host not in side
        elif change < 0.5:
            network.part(hosts)
            for host in hosts:
                host.reaches_store = True
        elif change < 0.6:
            network.restart(rng.choice(hosts))
        network.is_reply_lost = rng.random() < 0.2
        able = [host for host in hosts if host.reaches_store]
        if not able:
            continue
        if network.owners[-1].host.reaches_store and rng.random() < 0.5:
            network.hand_over(rng.choice(able))
        elif rng.random() < 0.5:
            network.claim(rng.choice(able))

"""Clusters that run at the same time use separate addresses."""

from coltsfootseam.testbed.networks import claim_network


# Guards against two launchers that give their entry hosts the same addresses.
def test_two_launchers_with_the_same_number_get_two_networks() -> None:
    first = claim_network(7)
    second = claim_network(7)
    try:
        assert first.network != second.network
    finally:
        first.release()
        second.release()


def test_a_released_network_can_be_claimed_again() -> None:
    first = claim_network(11)
    first.release()
    second = claim_network(11)
    second.release()
    assert second.network == first.network

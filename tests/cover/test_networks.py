"""Clusters that run at the same time have addresses of their own."""

from coltsfootseam.testbed.networks import claim_network


# Guards against entry hosts that find another launcher on their ports.
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

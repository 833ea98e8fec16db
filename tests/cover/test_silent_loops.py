"""What gets nowhere says so, and keeps nothing else from going on."""

import msgspec

from coltsfootseam.jobs import Wave
from tests.common.fleets import OPERATOR, STATUS, Fleet, running_fleet

LATER_S = 6.0


def ask_for_wave(fleet: Fleet, number: int, *machine_ids: str) -> None:
    wave = Wave(number, machine_ids, 20.0, 1)
    fleet.store.put(OPERATOR, f"wave/{number}", msgspec.msgpack.encode(wave))


def status_of_wave(fleet: Fleet, number: int) -> bytes:
    record = fleet.store.part(STATUS).newest_by_key.get(f"wave/{number}")
    return b"" if record is None else record.value


def refuse_status(fleet: Fleet, is_refused: bool) -> None:
    for host in fleet.hosts:
        host.store.faults.unwritable_topics = (
            {STATUS.topic} if is_refused else set()
        )


# Guards against a fleet that stands still, without a line, for as long as the
# store refuses to take how far a wave is.
async def test_waves_go_on_though_their_status_can_t_be_stored() -> None:
    async with running_fleet(workers=4) as fleet:
        await fleet.timers.advance(4.0)
        refuse_status(fleet, True)
        ask_for_wave(fleet, 1, "m-1", "m-2")
        await fleet.wait_until(lambda: len(fleet.machines.orders) == 2)
        await fleet.timers.advance(LATER_S)
        assert status_of_wave(fleet, 1) == b""
        untold = [
            line for host in fleet.hosts for line in host.lines("wave.untold")
        ]
        assert untold[-1]["waves"] == [1]
        assert sum(host.count("wave.untold") for host in fleet.hosts) > 0
        refuse_status(fleet, False)
        await fleet.wait_until(lambda: status_of_wave(fleet, 1) == b"completed")


# Guards against a wave that is complete and never told, as the next owner of
# the fleet took what the journal holds to be told.
async def test_the_next_owner_tells_what_could_not_be_told() -> None:
    async with running_fleet(workers=4) as fleet:
        await fleet.timers.advance(4.0)
        refuse_status(fleet, True)
        ask_for_wave(fleet, 1, "m-1")
        await fleet.wait_until(lambda: len(fleet.machines.orders) == 1)
        await fleet.timers.advance(LATER_S)
        owner = next(host for host in fleet.hosts if host.lines("wave.untold"))
        refuse_status(fleet, False)
        await owner.kill()
        await fleet.wait_until(lambda: status_of_wave(fleet, 1) == b"completed")

"""Traces of requests that burst on one service at a time, with stragglers."""

import random

import msgspec

from coltsfootseam.testbed import LoadRequest


class BurstShape(msgspec.Struct, frozen=True):
    """Shape of the demand over time.

    Attributes:
        services: The services, in the order of their bursts.
        mean_per_s: Mean requests per second of each service.
        burst_s: Length of a burst.
        burst_factor: Demand during a burst, as a multiple of the mean.
        quiet_factor: Demand between bursts, as a multiple of the mean.
        bursts_per_service: Number of bursts of each service.
        run_ms: Mean run time of short requests.
        straggler_share: Share of requests that are stragglers.
        straggler_factor: Run time of stragglers, as a multiple of that of
            short requests.
        deadline_ms: Deadline of short requests.
    """

    services: tuple[str, ...]
    mean_per_s: float
    burst_s: float = 5.0
    burst_factor: float = 5.0
    quiet_factor: float = 0.05
    bursts_per_service: int = 1
    run_ms: int = 200
    straggler_share: float = 0.002
    straggler_factor: int = 15
    deadline_ms: int = 10_000

    def length_s(self) -> float:
        """Returns the length of the whole trace."""
        return self.burst_s * len(self.services) * self.bursts_per_service


def make_burst_trace(shape: BurstShape, seed: int) -> list[LoadRequest]:
    """Returns the requests of a trace; they depend only on shape and seed."""
    rng = random.Random(seed)
    requests: list[LoadRequest] = []
    for index, service in enumerate(shape.services):
        requests.extend(_requests_of(shape, index, service, rng))
    return sorted(requests, key=lambda request: request.at_s)


def _requests_of(
    shape: BurstShape, index: int, service: str, rng: random.Random
) -> list[LoadRequest]:
    requests: list[LoadRequest] = []
    at_s = 0.0
    while True:
        is_burst = _is_bursting(shape, index, at_s)
        factor = shape.burst_factor if is_burst else shape.quiet_factor
        at_s += rng.expovariate(shape.mean_per_s * factor)
        if at_s >= shape.length_s():
            return requests
        name = f"{service}-{len(requests)}"
        requests.append(_make_request(shape, service, name, at_s, rng))


def _is_bursting(shape: BurstShape, index: int, at_s: float) -> bool:
    turn = int(at_s / shape.burst_s) % len(shape.services)
    return turn == index


def _make_request(
    shape: BurstShape, service: str, name: str, at_s: float, rng: random.Random
) -> LoadRequest:
    is_straggler = rng.random() < shape.straggler_share
    run_ms = round(shape.run_ms * rng.uniform(0.5, 1.5))
    deadline_ms = shape.deadline_ms
    path = "entry"
    if is_straggler:
        path = "catalogue"
        run_ms *= shape.straggler_factor
        deadline_ms += 2 * run_ms
    return LoadRequest(
        operation=name,
        service=service,
        at_s=at_s,
        run_ms=run_ms,
        repeatable=rng.random() < 0.3,
        deadline_ms=deadline_ms,
        answer_bytes=rng.choice((64, 1024, 8192)),
        attempt_limit=3,
        path=path,
    )

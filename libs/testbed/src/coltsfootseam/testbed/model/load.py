"""Job arrivals whose kinds peak in alternating intervals."""

import math
import random

import msgspec

from coltsfootseam.jobs import Step

_PEAK_FACTOR = 5.0
_OFF_PEAK_FACTOR = 0.05
_MS_PER_S = 1000


class JobKind(msgspec.Struct, frozen=True):
    """Distribution of similar jobs.

    Attributes:
        pool: Pool whose workers run them.
        per_s: Mean arrivals per second.
        steps: Mean number of steps, each of which follows the previous one.
        width: Mean number of tasks per step.
        task_s: Mean duration of a task.
        cpu_millis: Mean processor demand of a task, in thousandths of a core.
        memory_mb: Mean memory of a task.
        tail_share: Share of tasks that take far longer than estimated.
        tail_factor: Factor by which such tasks take longer.
        duplicable_share: Share of jobs whose tasks may run twice at once.
        checkpointing_share: Share of jobs whose tasks save checkpoints.
        stretch: Factor on the critical path in a job's objective.
        target_s: Time that the objective allows in addition.
        priority: Priority of the queue.
        team: Team that submits them, or empty.
        max_width: Most tasks per step.
        max_cpu_millis: Most processor that a task requests.
        max_memory_mb: Most memory that a task requests.
        memory_spread: Relative spread of the memory.
        max_estimate_error: Largest factor between a step's estimate and its
            mean duration, in either direction, beside their usual spread.
    """

    pool: str
    per_s: float
    steps: float
    width: float
    task_s: float
    cpu_millis: float
    memory_mb: float = 2000.0
    tail_share: float = 0.03
    tail_factor: float = 7.0
    duplicable_share: float = 0.0
    checkpointing_share: float = 0.0
    stretch: float = 1.6
    target_s: float = 0.6
    priority: int = 0
    team: str = ""
    max_width: int = 1_000
    max_cpu_millis: int = 1_000_000
    max_memory_mb: int = 1_000_000
    memory_spread: float = 0.6
    max_estimate_error: float = 1.0

    def queue(self) -> str:
        """Returns the name of the queue that such jobs are submitted to."""
        return f"{self.pool}-{self.priority}"


class Arrival(msgspec.Struct, frozen=True):
    """A job that a caller submits.

    Attributes:
        at_s: When it is submitted, since the start of the model.
        job_id: Id of the job.
        kind: Kind of the job.
        steps: Its steps, with estimates.
        durations_s: Actual durations by step and task on a healthy worker.
    """

    at_s: float
    job_id: str
    kind: JobKind
    steps: tuple[Step, ...]
    durations_s: tuple[tuple[float, ...], ...]

    def critical_path_s(self) -> float:
        """Returns the length of its critical path by actual durations."""
        return sum(max(tasks) for tasks in self.durations_s)

    def objective_s(self) -> float:
        """Returns the time within which it earns its full credit."""
        return self.kind.stretch * self.critical_path_s() + self.kind.target_s

    def core_s(self) -> float:
        """Returns its work, in core seconds."""
        return sum(
            step.cpu_millis / 1000 * sum(tasks)
            for step, tasks in zip(self.steps, self.durations_s, strict=True)
        )


def long_running_arrival(pool: str, step: Step) -> Arrival:
    """Returns a job of long-running tasks, submitted at the start."""
    kind = JobKind(pool, 0.0, 1.0, step.count, 1.0, step.cpu_millis)
    durations_s = (math.inf,) * step.count
    return Arrival(0.0, f"{pool}-lasting", kind, (step,), (durations_s,))


def draw_arrivals(
    kinds: list[JobKind], length_s: float, peak_s: float, seed: int
) -> list[Arrival]:
    """Draws arrivals whose kinds peak in turn at five times their mean rate.

    Args:
        kinds: Kinds of jobs, in the order of their peaks.
        length_s: Time in which jobs arrive.
        peak_s: Length of one kind's peak.
        seed: Seed of all random draws.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for number, kind in enumerate(kinds):
        at_s = 0.0
        while True:
            at_s += rng.expovariate(_PEAK_FACTOR * kind.per_s)
            if at_s >= length_s:
                break
            is_peak = int(at_s / peak_s) % len(kinds) == number
            if not is_peak and rng.random() > _OFF_PEAK_FACTOR / _PEAK_FACTOR:
                continue
            arrivals.append(_draw_arrival(rng, kind, at_s, len(arrivals)))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _draw_arrival(
    rng: random.Random, kind: JobKind, at_s: float, number: int
) -> Arrival:
    count = max(1, round(_draw_lognormal(rng, kind.steps, 0.4)))
    is_duplicable = rng.random() < kind.duplicable_share
    is_checkpointing = rng.random() < kind.checkpointing_share
    steps = []
    durations = []
    for position in range(count):
        mean_s = _draw_lognormal(rng, kind.task_s, 0.5)
        width = max(1, round(_draw_lognormal(rng, kind.width, 0.6)))
        width = min(width, kind.max_width)
        cpu_millis = round(_draw_lognormal(rng, kind.cpu_millis, 0.45))
        memory_mb = round(
            _draw_lognormal(rng, kind.memory_mb, kind.memory_spread)
        )
        steps.append(
            Step(
                count=width,
                cpu_millis=min(cpu_millis, kind.max_cpu_millis),
                memory_mb=min(memory_mb, kind.max_memory_mb),
                estimate_ms=_draw_estimate_ms(rng, kind, mean_s),
                after=(position - 1,) if position else (),
                duplicable=is_duplicable,
                checkpointing=is_checkpointing,
            )
        )
        durations.append(
            tuple(_draw_duration(rng, kind, mean_s) for _ in range(width))
        )
    return Arrival(at_s, f"{number:016x}", kind, tuple(steps), tuple(durations))


def _draw_estimate_ms(rng: random.Random, kind: JobKind, mean_s: float) -> int:
    estimate_s = _draw_lognormal(rng, mean_s, 0.2)
    if kind.max_estimate_error > 1.0:
        limit = math.log(kind.max_estimate_error)
        estimate_s *= math.exp(rng.uniform(-limit, limit))
    return max(1, round(estimate_s * _MS_PER_S))


def _draw_duration(rng: random.Random, kind: JobKind, mean_s: float) -> float:
    duration_s = _draw_lognormal(rng, mean_s, 0.3)
    if rng.random() < kind.tail_share:
        duration_s *= kind.tail_factor
    return max(0.05, duration_s)


def _draw_lognormal(rng: random.Random, mean: float, spread: float) -> float:
    """Draws from a log-normal distribution with a mean and relative spread."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)

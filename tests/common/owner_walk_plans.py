"""Plans of walks over owners of a pool, lives of its workers and calls.

A plan is drawn from a seed. It has one to four phases. In each, some workers
start anew or are cut off, jobs come in, calls are late or unanswered, and the
pool loses its owner.
"""

import random
from collections.abc import Callable
from typing import TypeVar

import msgspec

RACKS = 2
MAX_CALL_DELAY_S = 12.0
"""How long an unanswered call may be under way to a worker."""

_DURATIONS_S = (0.5, 2.0, 6.0, 12.0, 20.0)
_SHORT_PAUSES_S = (0.0, 0.05, 0.1, 0.4, 1.0)
_PAUSES_S = (0.05, 0.3, 1.0, 2.0, 4.0)
_OWNER_PAUSES_S = (0.05, 0.05, 0.4, 1.0, 2.5)
_CUTS_S = (2.0, 6.0, 12.0, 18.0)
_MAX_JOBS = 5

E = TypeVar("E", bound="type[Event]")


class Event(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """An event.

    Attributes:
        after_s: Pause between the event before and this one.
    """

    after_s: float


class WorkerEvent(Event, frozen=True, kw_only=True):
    """An event at some workers.

    Attributes:
        workers: Their instance ids.
    """

    workers: tuple[str, ...]


EVENTS_BY_NAME: dict[str, type[Event]] = {}


def event(event_type: E) -> E:
    """Registers an event of plans."""
    EVENTS_BY_NAME[event_type.__name__] = event_type
    return event_type


@event
class JobSubmitted(Event, frozen=True, kw_only=True):
    """A caller submits a job.

    Attributes:
        job: Its number.
        count: Number of its tasks.
        duration_s: How long each of them runs.
        is_spread: Whether each runs on a worker of its own.
    """

    job: int
    count: int
    duration_s: float
    is_spread: bool


@event
class JobCancelled(Event, frozen=True, kw_only=True):
    """A caller cancels a job."""

    job: int


@event
class OwnerAwaited(Event, frozen=True, kw_only=True):
    """The walk waits until the pool has an owner."""


@event
class OwnerLeaves(Event, frozen=True, kw_only=True):
    """The owner hands over in peace and ends; it is back after a while."""

    back_after_s: float


@event
class OwnerKilled(Event, frozen=True, kw_only=True):
    """The owner's process is killed; it is back after a while."""

    back_after_s: float


@event
class OwnerFrozen(Event, frozen=True, kw_only=True):
    """The owner's process pauses."""

    for_s: float


@event
class OwnerParted(Event, frozen=True, kw_only=True):
    """The owner is cut off from the store, from workers, or from both."""

    for_s: float
    from_store: bool
    from_workers: tuple[str, ...]


@event
class WorkersReborn(WorkerEvent, frozen=True, kw_only=True):
    """Machines lose their power; their workers start again under their ids.

    Attributes:
        down_s: How long they are down.
        unlisted_s: Time from their return until their entries show it.
        is_dark: Whether they have no entry until then, not the former one.
        is_listed_down: Whether their machines are listed as down meanwhile.
        resets_connections: Whether the end of the processes is noticed at once.
    """

    down_s: float
    unlisted_s: float
    is_dark: bool
    is_listed_down: bool
    resets_connections: bool


@event
class WorkersAdded(Event, frozen=True, kw_only=True):
    """Workers join the pool, which leaves room for what others lose.

    Attributes:
        count: How many.
    """

    count: int


@event
class WorkersUnlisted(WorkerEvent, frozen=True, kw_only=True):
    """Workers have no entry for a while and go on."""

    for_s: float


@event
class WorkersCutOff(WorkerEvent, frozen=True, kw_only=True):
    """Workers are cut off from all hosts and go on until their leases end.

    Attributes:
        for_s: How long.
        is_one_way: Whether only what they send is lost.
        is_unlisted: Whether they have no entry meanwhile.
    """

    for_s: float
    is_one_way: bool
    is_unlisted: bool


@event
class CallsLate(WorkerEvent, frozen=True, kw_only=True):
    """Some calls to workers are carried out late and not answered.

    Attributes:
        for_s: How long.
        kinds: See ``Lateness``.
        share: See ``Lateness``.
        max_delay_s: See ``Lateness``.
    """

    for_s: float
    kinds: tuple[str, ...]
    share: float
    max_delay_s: float


@event
class StartsUnheard(WorkerEvent, frozen=True, kw_only=True):
    """Replies to starts are lost, so only lists show the runs."""

    for_s: float


@event
class RunsFail(WorkerEvent, frozen=True, kw_only=True):
    """All runs of workers fail for a while."""

    for_s: float


class Plan(msgspec.Struct, frozen=True):
    """What a walk does.

    Attributes:
        seed: The seed that it was drawn from.
        hosts: Number of entry hosts.
        ages_s: Ages of the workers as the hosts start, by instance id; they
            are in two racks in turn.
        warm_up_s: Time from the first jobs to the first event after them.
        early: Jobs that are submitted before all other events.
        events: The events, in order.
    """

    seed: int
    hosts: int
    ages_s: dict[str, float]
    warm_up_s: float
    early: tuple[JobSubmitted, ...]
    events: tuple[Event, ...]

    def durations_by_job(self) -> dict[str, float]:
        """Returns how long the tasks of each job run, in seconds."""
        return {
            job_id_of(item.job): item.duration_s
            for item in (*self.early, *self.events)
            if isinstance(item, JobSubmitted)
        }


def job_id_of(number: int) -> str:
    """Returns the id of a job."""
    return f"{number:016x}"


class _Draw:
    """Draws a plan."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        count = self.random.choice((4, 5, 6))
        self.workers = tuple(f"i-{number + 1}" for number in range(count))
        self.jobs = 0
        # Whether all pauses are short, so that leases of calls to former lives
        # outlast several owners.
        self.is_hasty = False
        self.targets = self.draw_targets()

    def is_drawn(self, share: float) -> bool:
        """Returns true with a probability."""
        return self.random.random() < share

    def draw_targets(self) -> tuple[str, ...]:
        """Returns a rack of workers, or some workers."""
        if self.is_drawn(0.5):
            first = self.random.randrange(RACKS)
            return self.workers[first::RACKS]
        count = self.random.choice((1, 2, 3))
        return tuple(sorted(self.random.sample(self.workers, count)))

    def job(self, after_s: float) -> JobSubmitted:
        """Draws a job."""
        number = self.jobs
        self.jobs += 1
        is_spread = self.is_drawn(0.6)
        return JobSubmitted(
            after_s=after_s,
            job=number,
            count=self.random.choice((2, 3, 4)),
            duration_s=self.random.choice(_DURATIONS_S),
            is_spread=is_spread,
        )

    def long_job(self, after_s: float) -> JobSubmitted:
        """Draws a job whose tasks outlast leases."""
        duration_s = self.random.choice((12.0, 20.0))
        job = self.job(after_s)
        return msgspec.structs.replace(job, duration_s=duration_s)

    def long_cut(self, after_s: float) -> WorkersCutOff:
        """Draws a cut that outlasts the leases of owners."""
        for_s = self.random.choice((9.0, 12.0, 18.0))
        cut = self.cut_off(after_s)
        return msgspec.structs.replace(cut, for_s=for_s, is_one_way=False)

    def owner_event(self) -> Event:
        """Draws how the pool loses its owner."""
        pauses_s = (0.05, 0.1, 0.4) if self.is_hasty else _OWNER_PAUSES_S
        after_s = self.random.choice(pauses_s)
        draw = self.random.choices(
            (self._leaves, self._killed, self._frozen, self._parted),
            (6, 3, 1, 1) if self.is_hasty else (4, 4, 2, 3),
        )[0]
        return draw(after_s)

    def life_event(self, after_s: float) -> Event:
        """Draws what happens to lives of workers besides a rebirth."""
        draw: Callable[[float], Event] = self.random.choices(
            (self.cut_off, self._unlisted), (4, 1)
        )[0]
        return draw(after_s)

    def reborn(self, after_s: float) -> WorkersReborn:
        """Draws a rebirth."""
        down_s = self.random.choice((0.02, 0.02, 0.4, 2.0, 6.0, 11.0))
        return WorkersReborn(
            after_s=after_s,
            workers=self.targets,
            down_s=down_s,
            unlisted_s=self.random.choice((0.0, 0.1, 0.5, 2.0, 5.0)),
            is_dark=self.is_drawn(0.5),
            is_listed_down=down_s > 1.0 and self.is_drawn(0.3),
            resets_connections=self.is_drawn(0.2),
        )

    def cut_off(self, after_s: float) -> WorkersCutOff:
        """Draws a cut."""
        return WorkersCutOff(
            after_s=after_s,
            workers=self.targets,
            for_s=self.random.choice(_CUTS_S),
            is_one_way=self.is_drawn(0.15),
            is_unlisted=self.is_drawn(0.3),
        )

    def calls_late(self) -> CallsLate:
        """Draws late calls."""
        kinds = ("start", "heartbeat", "stop")
        return CallsLate(
            after_s=self.random.choice(_PAUSES_S),
            workers=self.targets,
            for_s=self.random.choice((0.5, 2.0, 6.0)),
            kinds=self.random.choice((kinds[:1], kinds[:1], kinds[1:], kinds)),
            share=self.random.choice((0.3, 0.7, 1.0)),
            max_delay_s=self.random.choice((3.0, MAX_CALL_DELAY_S)),
        )

    def starts_unheard(self) -> StartsUnheard:
        """Draws lost replies to starts."""
        return StartsUnheard(
            after_s=self.random.choice(_SHORT_PAUSES_S),
            workers=self.targets,
            for_s=self.random.choice((0.3, 1.5, 4.0)),
        )

    def runs_fail(self) -> RunsFail:
        """Draws failing runs."""
        return RunsFail(
            after_s=self.random.choice(_PAUSES_S),
            workers=self.targets[:1],
            for_s=self.random.choice((0.05, 1.0)),
        )

    def cancel(self) -> JobCancelled:
        """Draws the cancellation of a job."""
        return JobCancelled(
            after_s=self.random.choice(_PAUSES_S),
            job=self.random.randrange(self.jobs),
        )

    def _unlisted(self, after_s: float) -> WorkersUnlisted:
        return WorkersUnlisted(
            after_s=after_s,
            workers=self.targets,
            for_s=self.random.choice(_CUTS_S),
        )

    def _back_after_s(self) -> float:
        return self.random.choice((0.5, 2.0, 6.0))

    def _leaves(self, after_s: float) -> Event:
        return OwnerLeaves(after_s=after_s, back_after_s=self._back_after_s())

    def _killed(self, after_s: float) -> Event:
        return OwnerKilled(after_s=after_s, back_after_s=self._back_after_s())

    def _frozen(self, after_s: float) -> Event:
        for_s = self.random.choice((1.5, 5.0, 9.0, 14.0))
        return OwnerFrozen(after_s=after_s, for_s=for_s)

    def _parted(self, after_s: float) -> Event:
        from_store = self.is_drawn(0.8)
        from_workers: tuple[str, ...] = ()
        if not from_store or self.is_drawn(0.4):
            from_workers = self.draw_targets()
        return OwnerParted(
            after_s=after_s,
            for_s=self.random.choice((5.0, 9.0, 14.0)),
            from_store=from_store,
            from_workers=from_workers,
        )


Scene = Callable[[_Draw], list[Event]]
_SCENES: list[Scene] = []
_SCENE_WEIGHTS: list[int] = []


def scene(weight: int) -> Callable[[Scene], Scene]:
    """Registers the decorated function, which draws the events of a phase.

    Args:
        weight: How often it is chosen, relative to the others.
    """

    def register(draw_scene: Scene) -> Scene:
        _SCENES.append(draw_scene)
        _SCENE_WEIGHTS.append(weight)
        return draw_scene

    return register


@scene(4)
def _next_lives_take_calls(draw: _Draw) -> list[Event]:
    """Next lives carry out starts while their owner knows of former ones."""
    choice = draw.random.choice
    events: list[Event] = [
        WorkersReborn(
            after_s=choice(_PAUSES_S),
            workers=draw.targets,
            down_s=choice((0.02, 0.02, 0.3)),
            unlisted_s=choice((0.1, 0.1, 0.2, 0.7)),
            is_dark=draw.is_drawn(0.3),
            is_listed_down=False,
            resets_connections=False,
        )
    ]
    if draw.jobs < _MAX_JOBS:
        events.append(draw.long_job(choice((0.03, 0.04, 0.1))))
    if draw.jobs < _MAX_JOBS and draw.is_drawn(0.4):
        events.append(draw.long_job(choice((0.1, 0.4))))
    if not draw.is_hasty and draw.is_drawn(0.3):
        events.append(draw.long_cut(choice((0.1, 0.6))))
    events.append(draw.owner_event())
    return events


@scene(3)
def _workers_are_cut_off(draw: _Draw) -> list[Event]:
    """Workers are cut off as their pool loses its owner."""
    choice = draw.random.choice
    events: list[Event] = []
    if draw.is_hasty or draw.is_drawn(0.5):
        events.append(OwnerAwaited(after_s=0.0))
    events.append(WorkersAdded(after_s=0.05, count=3))
    if draw.jobs < _MAX_JOBS and draw.is_drawn(0.4):
        events.append(draw.long_job(choice((0.05, 0.5))))
    pauses_s = (0.1, 0.4, 1.0) if draw.is_hasty else _PAUSES_S
    cut = draw.long_cut(choice(pauses_s))
    pair = [cut, draw.owner_event()]
    if draw.is_drawn(0.4):
        pair.reverse()
    return [*events, *pair]


@scene(3)
def _starts_arrive_late(draw: _Draw) -> list[Event]:
    """Copies of starts are under way as their workers start anew."""
    choice = draw.random.choice
    events: list[Event] = [
        CallsLate(
            after_s=choice(_PAUSES_S),
            workers=draw.targets,
            for_s=choice((0.1, 0.4, 2.0)),
            kinds=("start",),
            share=choice((0.5, 1.0)),
            max_delay_s=MAX_CALL_DELAY_S,
        )
    ]
    if draw.jobs < _MAX_JOBS:
        events.append(draw.long_job(0.05))
    if draw.is_drawn(0.3):
        events.append(draw.starts_unheard())
    if draw.is_drawn(0.2):
        events.append(draw.cancel())
    if draw.is_drawn(0.2):
        events.append(draw.runs_fail())
    if draw.is_drawn(0.6):
        events.append(draw.owner_event())
    events.append(
        WorkersReborn(
            after_s=choice((0.5, 2.0, 4.0, 8.0)),
            workers=draw.targets,
            down_s=choice((0.1, 0.4, 2.0)),
            unlisted_s=choice((0.0, 1.0, 3.0)),
            is_dark=draw.is_drawn(0.3),
            is_listed_down=draw.is_drawn(0.15),
            resets_connections=draw.is_drawn(0.5),
        )
    )
    if draw.is_drawn(0.4):
        events.append(draw.long_cut(choice(_SHORT_PAUSES_S)))
    return events


@scene(4)
def _anything_happens(draw: _Draw) -> list[Event]:
    """Draws events around a change of the owner without an aim."""
    events: list[Event] = []
    choice = draw.random.choice
    if draw.is_drawn(0.3):
        events.append(draw.calls_late())
    if draw.is_drawn(0.15):
        events.append(draw.starts_unheard())
    if draw.is_drawn(0.6):
        events.append(draw.reborn(choice(_PAUSES_S)))
        if draw.is_drawn(0.15):
            events.append(draw.reborn(choice(_PAUSES_S)))
    if draw.jobs < _MAX_JOBS and draw.is_drawn(0.6):
        events.append(draw.job(choice((0.04, 0.04, 0.3, 0.6))))
    if draw.jobs and draw.is_drawn(0.12):
        events.append(draw.cancel())
    if draw.is_drawn(0.1):
        events.append(draw.runs_fail())
    if draw.is_drawn(0.3):
        events.append(draw.life_event(choice(_SHORT_PAUSES_S)))
    events.append(draw.owner_event())
    if draw.is_drawn(0.3):
        events.append(WorkersAdded(after_s=0.0, count=2))
    if draw.is_drawn(0.5):
        events.append(draw.life_event(choice(_SHORT_PAUSES_S)))
    if draw.is_drawn(0.25):
        events.append(draw.reborn(choice(_PAUSES_S)))
    return events


@scene(1)
def _only_the_owner_changes(draw: _Draw) -> list[Event]:
    """The pool changes its owner, perhaps after a job has come in."""
    events: list[Event] = []
    if draw.jobs < _MAX_JOBS and draw.is_drawn(0.4):
        events.append(draw.long_job(draw.random.choice((0.05, 0.3))))
    events.append(draw.owner_event())
    return events


def _draw_scenes(draw: _Draw) -> list[Scene]:
    """Draws what the phases of a plan show.

    Half of the plans have the order that made tasks run twice in issue 65.
    """
    count = draw.random.choice((1, 2, 2, 3, 3, 4))
    if draw.is_drawn(0.5):
        return draw.random.choices(_SCENES, _SCENE_WEIGHTS, k=count)
    draw.is_hasty = draw.is_drawn(0.8)
    between = [_only_the_owner_changes] * draw.random.choice((0, 0, 1, 2))
    return [_next_lives_take_calls, *between, _workers_are_cut_off]


def draw_plan(seed: int) -> Plan:
    """Draws the plan of a walk."""
    draw = _Draw(seed)
    ages_s = {
        instance_id: draw.random.choice((0.0, 10.0, 100.0, 900.0))
        for instance_id in draw.workers
    }
    hosts = draw.random.choice((3, 4, 5))
    warm_up_s = draw.random.choice((1.0, 4.0, 12.0, 20.0))
    early = tuple(draw.job(0.1) for _ in range(draw.random.choice((1, 1, 2))))
    events: list[Event] = []
    for draw_scene in _draw_scenes(draw):
        events += draw_scene(draw)
        if not draw.is_hasty and draw.is_drawn(0.25):
            draw.targets = draw.draw_targets()
    return Plan(seed, hosts, ages_s, warm_up_s, early, tuple(events))

"""Requests and replies between the processes."""

import msgspec

from coltsfootseam.jobs import JobState


class JobStatusRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner of a pool how far a job is."""

    pool: str
    job_id: str


class JobStatusReply(msgspec.Struct, frozen=True, array_like=True):
    """The owner's answer.

    Attributes:
        is_owner: Whether the callee owns the pool and has loaded it.
        is_current: Whether it has read its inbox to the end just now.
        state: How far the job is, ``None`` if it isn't known.
    """

    is_owner: bool
    is_current: bool = False
    state: JobState | None = None


class PendingCountRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks how many jobs of a queue haven't begun."""

    pool: str
    queue: str


class PendingCountReply(msgspec.Struct, frozen=True, array_like=True):
    """The owner's answer; ``count`` is ``None`` if it can't tell."""

    count: int | None = None


class ForwardAppendRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a peer to append a record to a pool's inbox."""

    pool: str
    key: str
    value: bytes


class ForwardAppendReply(msgspec.Struct, frozen=True, array_like=True):
    """What became of the append: stored, not done, or unknown."""

    is_stored: bool
    is_unknown: bool = False


class OwnerRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks whether a peer owns a duty.

    Attributes:
        duty: The duty.
        is_assigned: Whether the group has dealt it to the host that asks.
    """

    duty: str
    is_assigned: bool = False


class OwnerReply(msgspec.Struct, frozen=True, array_like=True):
    """Tells whether the callee owns the duty and keeps it."""

    is_owner: bool


class ReachabilityRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks whether a peer reaches the store.

    Attributes:
        address: Where the asking host is called, if nobody lists it.
        is_member: Whether it takes part in the dealing of duties; if not, it
            stands by.
        millicores: Its processor capacity.
    """

    address: str = ""
    is_member: bool = False
    millicores: int = 0


class DutyOffer(msgspec.Struct, frozen=True, array_like=True):
    """Offers a duty that the asking host can't bring to work."""

    duty: str


class DutyOfferReply(msgspec.Struct, frozen=True, array_like=True):
    """Tells whether the asked host tries to take the duty over."""

    is_accepted: bool = False


class ReachabilityReply(msgspec.Struct, frozen=True, array_like=True):
    """Tells how long ago the store last answered the peer, in seconds."""

    store_unanswered_s: float


class EvacuationRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a pool's owner to take work off workers and tell its demand.

    Attributes:
        pool: Name of the pool.
        worker_ids: Workers whose machines are wanted elsewhere. Those that
            aren't named any more go back to work.
        released_ids: Workers whose machines have been taken since.
        spare_count: How many workers the pool could do without. The owner
            chooses them and gives them no new work.
    """

    pool: str
    worker_ids: list[str]
    released_ids: list[str]
    spare_count: int = 0


class EvacuationReply(msgspec.Struct, frozen=True, array_like=True):
    """What a pool's owner tells the fleet's owner.

    Attributes:
        is_owner: Whether the callee owns the pool and has loaded it.
        empty_ids: Those of the workers named that run nothing and will get
            nothing.
        idle_ids: Workers that run nothing, whether named or not.
        waiting_cores: Processor that waiting tasks ask for, in cores.
        waiting_labels: Labels that waiting tasks ask for.
        used_cores: Processor in use, in cores.
        worker_limit: How many workers its tasks need to be apart.
    """

    is_owner: bool
    empty_ids: list[str] = []
    idle_ids: list[str] = []
    waiting_cores: float = 0.0
    waiting_labels: list[str] = []
    used_cores: float = 0.0
    worker_limit: int = 0

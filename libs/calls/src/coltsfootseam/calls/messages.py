"""Requests and replies of the RPCs between the processes.

The messages are encoded as arrays, so the order and the types of their fields
are the wire format.
"""

import msgspec

from coltsfootseam.jobs import JobState


class JobStatusRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner of a pool for the state of a job."""

    pool: str
    job_id: str


class JobStatusReply(msgspec.Struct, frozen=True, array_like=True):
    """The owner's reply about a job.

    Attributes:
        is_owner: Whether the callee owns the pool and has loaded it.
        is_current: Whether the callee has recently read its inbox to the end.
        state: State of the job, ``None`` if the job is unknown.
        team: Team that submitted it, empty if none did.
    """

    is_owner: bool
    is_current: bool = False
    state: JobState | None = None
    team: str = ""


class QueuePoolsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks which pools may have jobs of a queue."""

    queue: str


class QueuePoolsReply(msgspec.Struct, frozen=True, array_like=True):
    """The pools that may have jobs of a queue, as the store has them now.

    Attributes:
        pools: The pools, ``None`` if the callee could not ask the store.
    """

    pools: list[str] | None = None


class PendingCountRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks how many jobs of a queue haven't started."""

    pool: str
    queue: str


class PendingCountReply(msgspec.Struct, frozen=True, array_like=True):
    """The owner's reply; ``count`` is ``None`` if it doesn't know."""

    count: int | None = None


class ForwardAppendRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a peer to append a record to a pool's inbox.

    Attributes:
        pool: Name of the pool.
        key: Key of the record.
        value: Its value.
        team: Team of a job's request, ``None`` if no team is checked.
        queue: Queue of a job's request, empty for other records.
        admission: Offset of the record that admits the queue in the pool,
            ``None`` if the caller can't tell.
    """

    pool: str
    key: str
    value: bytes
    team: str | None = None
    queue: str = ""
    admission: int | None = None


class ForwardAppendReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the append took effect, or its outcome is unknown.

    Attributes:
        is_stored: Whether it took effect.
        is_unknown: Whether it may yet take effect.
        is_of_other_team: Whether it was refused, as another team has a job of
            this id.
        is_not_admitted: Whether it was refused, as the pool no longer takes
            jobs of the queue.
        is_from_owner: Whether the callee owns the pool.
    """

    is_stored: bool
    is_unknown: bool = False
    is_of_other_team: bool = False
    is_not_admitted: bool = False
    is_from_owner: bool = True


class OwnerRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks whether a peer owns a duty.

    Attributes:
        duty: Name of the duty.
        is_assigned: Whether the group has assigned it to the caller.
    """

    duty: str
    is_assigned: bool = False


class OwnerReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the callee owns the duty and keeps it."""

    is_owner: bool


class ReachabilityRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks whether a peer reaches the store.

    Attributes:
        address: The caller's address, if it isn't among the members that hold
            partitions.
        is_member: Whether the caller is in the group that assigns duties. If
            not, it is a standby.
        millicores: The caller's processor capacity.
    """

    address: str = ""
    is_member: bool = False
    millicores: int = 0


class DutyOffer(msgspec.Struct, frozen=True, array_like=True):
    """Offers a duty that doesn't become active on the caller's host."""

    duty: str


class DutyOfferReply(msgspec.Struct, frozen=True, array_like=True):
    """Whether the callee tries to take the duty over."""

    is_accepted: bool = False


class ReachabilityReply(msgspec.Struct, frozen=True, array_like=True):
    """What the callee knows of the store.

    Attributes:
        store_unanswered_s: Seconds since the store last replied to it.
        uptime_s: Seconds since its process started. It knows nothing of the
            time before.
    """

    store_unanswered_s: float
    uptime_s: float = 0.0


class EvacuationRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a pool's owner to evacuate workers and report its demand.

    Attributes:
        pool: Name of the pool.
        worker_ids: All workers to evacuate, as their machines are needed
            elsewhere. Workers missing from the list are used again.
        released_ids: Workers whose machines have since been released.
        spare_count: How many workers the pool can do without. The owner
            chooses them and places no new tasks on them.
        token: Fencing token of the caller's orders for machines.
        held_s: How long the caller has been the holder of the machines.
        machine_ids: The machines of the workers to evacuate.
        down_ids: Workers whose machines were listed as down.
        listed_age_s: How long ago that list was requested.
    """

    pool: str
    worker_ids: list[str]
    released_ids: list[str]
    spare_count: int = 0
    token: int = 0
    held_s: float = 0.0
    machine_ids: list[str] = []
    down_ids: list[str] = []
    listed_age_s: float = 0.0


class EvacuationReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply of a pool's owner to the fleet's owner.

    Attributes:
        is_owner: Whether the callee owns the pool and has loaded it.
        empty_ids: Workers of the request that run no task and will get none.
        idle_ids: All workers that run no task.
        waiting_cores: Cores that waiting tasks request.
        waiting_labels: Labels that waiting tasks require.
        used_cores: Cores in use.
        worker_limit: Number of workers that the pool needs, as some of its
            tasks must run on different workers.
        token: The highest fencing token of a holder of the machines that the
            callee knows of. If it is higher than the caller's, the request was
            ignored.
    """

    is_owner: bool
    empty_ids: list[str] = []
    idle_ids: list[str] = []
    waiting_cores: float = 0.0
    waiting_labels: list[str] = []
    used_cores: float = 0.0
    worker_limit: int = 0
    token: int = 0

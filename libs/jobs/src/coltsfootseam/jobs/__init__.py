"""Jobs, their tasks and runs, and the operator's configuration."""

from coltsfootseam.jobs.configuration import (
    Advice,
    Configuration,
    Pool,
    Queue,
    QueueIndex,
    QueueTerms,
    Team,
    Wave,
)
from coltsfootseam.jobs.documents import (
    PoolKey,
    Progress,
    StoredRun,
    StoredTask,
    cancel_key,
    decode_progress,
    decode_request,
    encode_progress,
    encode_request,
    job_key,
    key_prefix,
    parse_pool_key,
)
from coltsfootseam.jobs.entities import Job, Occurrence, Run, Task
from coltsfootseam.jobs.job_table import JobTable
from coltsfootseam.jobs.model import (
    JobRequest,
    JobState,
    RunEnd,
    RunPhase,
    Step,
    TaskId,
)
from coltsfootseam.jobs.resources import Resources
from coltsfootseam.jobs.run_index import RunIndex, RunKey, RunPair
from coltsfootseam.jobs.storable import (
    find_unstorable,
    max_submitted_bytes,
    max_tasks,
)

__all__ = [
    "Advice",
    "Configuration",
    "Job",
    "JobRequest",
    "JobState",
    "JobTable",
    "Occurrence",
    "Pool",
    "PoolKey",
    "Progress",
    "Queue",
    "QueueIndex",
    "QueueTerms",
    "Resources",
    "Run",
    "RunEnd",
    "RunIndex",
    "RunKey",
    "RunPair",
    "RunPhase",
    "Step",
    "StoredRun",
    "StoredTask",
    "Task",
    "TaskId",
    "Team",
    "Wave",
    "cancel_key",
    "decode_progress",
    "decode_request",
    "encode_progress",
    "encode_request",
    "find_unstorable",
    "job_key",
    "key_prefix",
    "max_submitted_bytes",
    "max_tasks",
    "parse_pool_key",
]

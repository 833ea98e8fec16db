"""Owns a pool: its journal, its jobs and the orders to its workers."""

import asyncio

import msgspec

from coltsfootseam.jobs import (
    JobTable,
    Progress,
    decode_request,
    key_prefix,
    parse_pool_key,
)
from coltsfootseam.manager.background import logging_failures, start_once
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.admissions import Admissions
from coltsfootseam.manager.leases.pool_leases import PoolLeases
from coltsfootseam.manager.leases.store_contacts import StoreContacts
from coltsfootseam.manager.membership.claiming import claim_duty
from coltsfootseam.manager.membership.duty_progress import DutyProgress
from coltsfootseam.manager.membership.locator import Locator
from coltsfootseam.manager.orders.orders import Orders
from coltsfootseam.manager.orders.worker_links import WorkerLinks
from coltsfootseam.manager.orders.worker_lives import WorkerLives
from coltsfootseam.manager.pools.evacuation import Evacuation
from coltsfootseam.manager.pools.interruptions import Interruptions
from coltsfootseam.manager.pools.pacer import Pacer
from coltsfootseam.manager.pools.planning_rounds import PlanningRounds
from coltsfootseam.manager.pools.pool_loading import PoolLoader
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.pools.queue_records import QueueRecords
from coltsfootseam.manager.pools.retention import Retention
from coltsfootseam.manager.pools.run_reconciler import RunReconciler
from coltsfootseam.manager.pools.ticket_cache import TicketCache
from coltsfootseam.manager.quotas.exchange import QuotaExchange
from coltsfootseam.manager.quotas.pool_quotas import PoolQuotas
from coltsfootseam.scheduling import WorkerHealth
from coltsfootseam.store import (
    Journal,
    StoredRecord,
    Tail,
)
from coltsfootseam.timers import Subscription
from coltsfootseam.workers import WorkerLink

_MAX_ROUND_INTERVAL_S = 0.1
_MIN_ROUND_INTERVAL_S = 0.02
_MAX_ROUND_PAUSE_S = 0.5
"""A round that took longer may have been frozen."""

_CONFIRM_PERIOD_S = 0.7
_MAX_UNCONFIRMED_S = 2.0
_MIN_UNCONFIRMED_ATTEMPTS = 2
_MAX_UNSETTLED_S = 2.0
_INBOX_LONG_POLL_S = 2.0
_MS_PER_S = 1000


class PoolOwner:
    """Owns one pool until it is cancelled or loses the journal.

    Attributes:
        state: The pool's state, ``None`` until the journal is claimed and
            everything is loaded.
        progress: Whether the duty becomes active and stays so.
        leases: The right to grant leases, ``None`` before that.
        inbox: The tail of the pool's inbox, ``None`` before that.
        evacuation: Evacuates workers whose machines are needed elsewhere,
            ``None`` before that.
    """

    __slots__ = (
        "_admissions",
        "_cluster",
        "_contacts",
        "_context",
        "_journal",
        "_lives",
        "_locator",
        "_pool",
        "_progress_by_id",
        "_unconfirmed_attempts",
        "_wake",
        "evacuation",
        "inbox",
        "leases",
        "progress",
        "state",
    )

    def __init__(
        self,
        pool: str,
        context: Context,
        cluster: ClusterState,
        locator: Locator,
        contacts: StoreContacts,
        admissions: Admissions,
    ) -> None:
        self._pool = pool
        self._admissions = admissions
        self._contacts = contacts
        self._locator = locator
        self._context = context
        self._cluster = cluster
        self._progress_by_id: dict[str, Progress] = {}
        self._unconfirmed_attempts = 0
        self._wake = asyncio.Event()
        self.progress = DutyProgress(context.timers)
        self.state: PoolState | None = None
        self.inbox: Tail | None = None
        self._journal: Journal | None = None
        self._lives: WorkerLives | None = None
        self.leases: PoolLeases | None = None
        self.evacuation: Evacuation | None = None

    async def run(self) -> None:
        """Claims the pool and owns it; returns when the journal is lost."""
        journal = await claim_duty(
            self._context,
            self._context.journal_of(self._pool),
            f"pool.{self._pool}",
            self.progress,
        )
        loader = PoolLoader(self._pool, self._context, self.progress)
        self._progress_by_id = await loader.load_journal()
        self._journal = journal
        self.leases = PoolLeases(
            self._pool,
            self._context,
            journal,
            self._contacts,
            loader.former_owners,
        )
        state = self._make_state(journal, self.leases)
        inbox = Tail(
            self._context.ports.store,
            self._context.timers,
            self._context.inbox_of(self._pool),
            lambda record: self._apply_inbox_record(state, record),
            _INBOX_LONG_POLL_S,
            prefix=key_prefix(self._pool),
            on_page=self.progress.record_progress,
        )
        await loader.load_inbox(inbox)
        self._add_ended_jobs(state)
        self._context.log.write(
            "pool.loaded",
            pool=self._pool,
            epoch=journal.epoch,
            jobs=len(state.job_table.jobs_by_id),
            active=len(state.job_table.active_by_id),
        )
        await self._replace_release(journal, self.leases)
        self.progress.is_active = True
        await self._run_rounds(state, inbox)

    async def _replace_release(
        self, journal: Journal, leases: PoolLeases
    ) -> None:
        """Replaces the record that the last owner has stopped."""
        if not leases.must_store():
            return
        record = leases.record_to_store()
        if record is not None and await journal.commit([record]) is None:
            leases.confirm_stored()

    async def record_release(self) -> None:
        """Tells the next owner that this one, which has ended, has stopped.

        If that can't be stored, the next owner waits for longer.
        """
        leases, journal = self.leases, self._journal
        if leases is None or journal is None or journal.is_lost:
            return
        called_s = {} if self._lives is None else self._lives.last_calls()
        await journal.commit([leases.release_record(called_s)])

    def _make_state(self, journal: Journal, leases: PoolLeases) -> PoolState:
        links_by_id: dict[str, WorkerLink] = {}
        lives = WorkerLives(
            self._context,
            journal,
            leases,
            links_by_id,
            self._cluster.sightings,
        )
        self._lives = lives
        return PoolState(
            pool=self._pool,
            context=self._context,
            cluster=self._cluster,
            journal=journal,
            job_table=JobTable(self._cluster.max_attempts_of),
            leases=leases,
            lives=lives,
            health=WorkerHealth(),
            links_by_id=links_by_id,
        )

    def _add_ended_jobs(self, state: PoolState) -> None:
        """Adds jobs of which only the final state is stored.

        Requests of ended jobs that are still in the inbox will be deleted.
        """
        job_table = state.job_table
        for job_id, job in job_table.jobs_by_id.items():
            if job.state.is_final and not job_table.is_open(job_id):
                state.undeleted_request_ids.add(job_id)
        for job_id, progress in self._progress_by_id.items():
            if progress.state.is_final and job_id not in job_table.jobs_by_id:
                job_table.add_ended(job_id, progress)
        self._progress_by_id.clear()

    def _apply_inbox_record(
        self, state: PoolState, record: StoredRecord
    ) -> None:
        key = parse_pool_key(self._pool, record.key)
        if key is None or not record.value:
            return
        if key.is_cancel:
            state.job_table.cancel(key.job_id, state.wall_ms())
            state.context.log.write("job.cancelled", job=key.job_id)
            self._wake.set()
            return
        try:
            request = decode_request(record.value)
        except msgspec.DecodeError as error:
            state.context.log.write(
                "record.unreadable", key=record.key, why=str(error)
            )
            return
        if key.job_id in state.job_table.jobs_by_id:
            return
        state.job_table.add(
            key.job_id,
            request,
            state.now_s(),
            self._progress_by_id.get(key.job_id),
        )
        if request.team and state.quotas is not None:
            state.quotas.has_team_jobs = True
        state.context.log.write(
            "job.learned",
            job=key.job_id,
            queue=request.queue,
            tasks=sum(step.count for step in request.steps),
            age_ms=state.wall_ms() - request.accepted_ms,
        )
        self._wake.set()

    async def _run_rounds(self, state: PoolState, inbox: Tail) -> None:
        interruptions = Interruptions(state)
        orders = Orders(state, interruptions, self._wake.set)
        reconciler = RunReconciler(state, orders)
        workers = WorkerLinks(state, reconciler, self._wake.set)
        tickets = TicketCache(state, self._wake)
        exchange = self._start_exchange(state)
        self.evacuation = Evacuation(state, interruptions)
        self.inbox = inbox
        self.state = state
        rounds = PlanningRounds(
            state, orders, workers, tickets, self.evacuation
        )
        inbox_task = start_once(
            self._context,
            f"inbox of {self._pool}",
            inbox.run,
            lambda: self._abandon(state),
        )
        subscriptions = self._subscribe(state, inbox, orders)
        try:
            while not state.journal.is_lost:
                await self._wake.wait()
                self._wake.clear()
                await rounds.run_once()
                # Leases, orders and callers get half of the loop at least.
                pause_s = min(rounds.busy_s, _MAX_ROUND_PAUSE_S)
                await self._context.timers.sleep(
                    max(_MIN_ROUND_INTERVAL_S, pause_s)
                )
        finally:
            self.state = None
            inbox_task.cancel()
            for subscription in subscriptions:
                subscription.cancel()
            orders.close()
            tickets.close()
            exchange.close()
            workers.close()
            self._context.log.write(
                "pool.left", pool=self._pool, epoch=state.journal.epoch
            )

    def _start_exchange(self, state: PoolState) -> QuotaExchange:
        """Starts to ask the coordinator what teams may use of the pool."""
        context = self._context
        quotas = PoolQuotas(
            self._pool, context, self._cluster, state.journal, state.job_table
        )
        state.quotas = quotas
        exchange = QuotaExchange(
            self._pool, context, quotas, self._locator, self._wake.set
        )
        exchange.start()
        return exchange

    def _subscribe(
        self, state: PoolState, inbox: Tail, orders: Orders
    ) -> list[Subscription]:
        """Starts what happens at intervals while the pool is owned."""
        confirm = logging_failures(
            self._context,
            f"epoch of {self._pool}",
            lambda: self._confirm_ownership(state),
        )
        timers = self._context.timers
        return [
            timers.subscribe(_MAX_ROUND_INTERVAL_S, self._wake.set),
            *Retention(state, inbox, self._admissions.appender).subscribe(),
            *QueueRecords(state, inbox, self._admissions).subscribe(),
            Pacer(state, orders).subscribe(),
            timers.subscribe(_CONFIRM_PERIOD_S, confirm),
        ]

    def _abandon(self, state: PoolState) -> None:
        """Releases the pool, so that its next owner loads it from the store."""
        state.journal.is_lost = True
        self._wake.set()

    def _check_commits(self, journal: Journal) -> None:
        """Reports when the store does not accept this owner's commits.

        The store may confirm the epoch at the same time.
        """
        unsettled_s = journal.unacknowledged_s()
        if unsettled_s < _MAX_UNSETTLED_S:
            self.progress.is_active = True
            return
        self.progress.record_blocked(unsettled_s)
        self._context.log.write(
            "pool.unsettled",
            pool=self._pool,
            epoch=journal.epoch,
            since_ms=round(unsettled_s * _MS_PER_S),
        )

    async def _confirm_ownership(self, state: PoolState) -> None:
        """Releases the pool unless the store confirms that this host owns it.

        An owner with nothing to store would not notice a successor, and would
        continue to extend leases that the successor assumes to have ended.
        """
        journal = state.journal
        self._check_commits(journal)
        # Half of the period, or one confirmation would suppress the next.
        if state.now_s() - journal.confirmed_s < _CONFIRM_PERIOD_S / 2:
            return
        await journal.confirm()
        age_s = state.now_s() - journal.confirmed_s
        is_answered = (
            self._context.ports.store.unanswered_s() < _CONFIRM_PERIOD_S
        )
        if age_s <= _MAX_UNCONFIRMED_S or not is_answered:
            self._unconfirmed_attempts = 0
            return
        # The first attempt may have been sent before the store was back.
        self._unconfirmed_attempts += 1
        if self._unconfirmed_attempts >= _MIN_UNCONFIRMED_ATTEMPTS:
            self._context.log.write("pool.unconfirmed", pool=self._pool)
            self._abandon(state)

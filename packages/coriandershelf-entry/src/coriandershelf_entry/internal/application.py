"""The process of an entry VM: owns its tasks and performs the actions of the core."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Coroutine
from functools import partial
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from coriandershelf_core import CoreSettings, EntryCore, VmIdentity
from coriandershelf_core.internal.vocabulary.actions import (
    Action,
    Append,
    CancelAttempt,
    IncrementCounter,
    LogLine,
    PollLoad,
    RefreshNotices,
    SendOrder,
    SendOutcome,
    SendPeerMessage,
    SendTokens,
    StartAttempt,
    StartVm,
    Stopped,
    StopVm,
)
from coriandershelf_core.internal.vocabulary.events import (
    AttemptFailed,
    FailureCause,
    SeedsGiven,
    StopAsked,
)
from coriandershelf_core.internal.vocabulary.records import (
    CONFIGURATION_STREAM,
    CONTROL_STREAM,
    LEDGER_STREAM,
)
from coriandershelf_entry.internal.caller_handlers import space_waiter
from coriandershelf_entry.internal.clock import make_clock
from coriandershelf_entry.internal.cloud import poll_offers, send_order, start_vm, stop_vm
from coriandershelf_entry.internal.core_task import CoreTask
from coriandershelf_entry.internal.handlers import SharedState
from coriandershelf_entry.internal.load_polls import poll_load
from coriandershelf_entry.internal.log_client import LogClient
from coriandershelf_entry.internal.mailbox import CallerMailbox
from coriandershelf_entry.internal.metrics import Metrics
from coriandershelf_entry.internal.peers import PeerSender, PeerServer
from coriandershelf_entry.internal.platform_client import NoticeReader, poll_vm_list
from coriandershelf_entry.internal.routes import make_application
from coriandershelf_entry.internal.settings import EntrySettings
from coriandershelf_entry.internal.upstream import ConnectionPool, run_attempt
from coriandershelf_wire import parse_or_none

METRICS_PERIOD_S = 1.0
OFFERS_PERIOD_S = 30.0
MAILBOX_POLL_S = 0.02
IDLE_BEFORE_EXIT_S = 0.2


class EntryApplication:
    """Owns every task of the process; its life cycle is ``start``, ``wait`` and ``stop``."""

    def __init__(self, settings: EntrySettings, core_settings: CoreSettings, log: Any) -> None:
        self._settings = settings
        self._core_settings = core_settings
        self._log = log
        self._clock = make_clock()
        incarnation = settings.incarnation or time.time_ns() // 1_000_000
        identity = VmIdentity(settings.vm_id, settings.zone, incarnation, settings.peer_listen)
        seed = settings.seed or random.SystemRandom().getrandbits(63)
        disabled = frozenset(filter(None, settings.disabled.split(",")))
        core = EntryCore(identity, core_settings, random.Random(seed), parse_or_none, disabled)
        self._core_task = CoreTask(core, self._clock, self._perform, self._fail, log)
        self._metrics = Metrics(settings.statsd_address)
        self._mailboxes: dict[str, CallerMailbox] = {}
        self._pool = ConnectionPool()
        self._attempts: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._exit_event = asyncio.Event()
        self._exit_code = 0
        self._stop_signals = 0
        # Each long poll of a log stream or of notices occupies a connection, so the default limit
        # of 10 is raised.
        client = SimpleAsyncHTTPClient(max_clients=64, force_instance=True)
        self._client = client
        # Separate client: unresponsive replicas must not use up the connections to the platform.
        self._load_client = SimpleAsyncHTTPClient(max_clients=64, force_instance=True)
        self._log_client = LogClient(client, settings.log_address, settings.vm_id, incarnation, log)
        post = self._core_task.post
        self._notices = NoticeReader(client, settings.platform_address, post, log)
        self._peer_server = PeerServer(settings.peer_listen, post, log)
        self._peer_sender = PeerSender(settings.vm_id, incarnation)
        shared = SharedState(settings, self._core_task, self._clock, self._metrics, self._mailboxes)
        self._server = HTTPServer(make_application(shared))

    async def start(self) -> None:
        """Start to listen and start every task."""
        settings = self._settings
        post = self._core_task.post
        host, _, port = settings.listen.rpartition(":")
        self._server.listen(int(port), host)
        await self._peer_server.start()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._on_stop_signal)
        loop.add_signal_handler(signal.SIGINT, self._on_stop_signal)
        post(SeedsGiven(tuple(filter(None, settings.seed_peers.split(",")))))
        self._spawn(self._core_task.tick_forever(settings.tick_s))
        self._spawn(self._log_client.read_forever(CONFIGURATION_STREAM, post))
        self._spawn(self._log_client.read_forever(LEDGER_STREAM, post))
        address = settings.platform_address
        self._spawn(poll_vm_list(self._client, address, settings.poll_s, post, self._log))
        self._spawn(self._notices.poll_forever(settings.poll_s))
        self._spawn(poll_offers(self._client, address, OFFERS_PERIOD_S, post))
        self._spawn(self._log_client.read_forever(CONTROL_STREAM, post))
        self._spawn(self._flush_metrics())
        self._log.info("listening", address=settings.listen)

    async def wait(self) -> int:
        """Wait until the process is about to end and return its exit code."""
        await self._exit_event.wait()
        return self._exit_code

    async def stop(self) -> None:
        """Cancel every task and close every connection."""
        self._server.stop()
        for task in [*self._tasks, *self._attempts.values()]:
            task.cancel()
        await asyncio.gather(*self._tasks, *self._attempts.values(), return_exceptions=True)
        await self._server.close_all_connections()
        await self._peer_sender.stop()
        await self._peer_server.stop()
        self._pool.close()
        self._client.close()
        self._load_client.close()
        self._metrics.flush()
        self._log.info("stopped")

    def _on_stop_signal(self) -> None:
        self._stop_signals += 1
        # A second signal skips the wait for the load balancer; requests in flight still finish.
        urgent = self._stop_signals > 1
        self._log.info("stop signal", urgent=urgent)
        self._core_task.post(StopAsked(self._clock() + self._settings.drain_limit_s, urgent))

    def _fail(self) -> None:
        self._exit_code = 70
        self._exit_event.set()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("task failed", error=repr(task.exception()))
            self._fail()

    async def _flush_metrics(self) -> None:
        while True:
            await asyncio.sleep(METRICS_PERIOD_S)
            self._metrics.flush()

    def _perform(self, action: Action) -> None:
        match action:
            case IncrementCounter(name, amount):
                self._metrics.count(name, amount)
            case SendTokens(request_id, payloads):
                mailbox = self._mailboxes.get(request_id)
                if mailbox is not None:
                    mailbox.put_payloads(payloads)
            case SendOutcome(request_id, outcome):
                mailbox = self._mailboxes.get(request_id)
                if mailbox is not None:
                    mailbox.put_outcome(outcome)
            case StartAttempt():
                self._start_attempt(action)
            case CancelAttempt(attempt_id):
                task = self._attempts.pop(attempt_id, None)
                if task is not None:
                    task.cancel()
            case SendOrder():
                timeout_s = self._core_settings.order_limit_s
                self._spawn(
                    send_order(self._client, action, timeout_s, self._clock, self._core_task.post)
                )
            case StartVm():
                address = self._settings.platform_address
                self._spawn(
                    start_vm(self._client, address, action, self._clock, self._core_task.post)
                )
            case StopVm():
                address = self._settings.platform_address
                self._spawn(
                    stop_vm(self._client, address, action, self._clock, self._core_task.post)
                )
            case Append():
                self._spawn(self._log_client.append(action, self._core_task.post))
            case SendPeerMessage():
                self._peer_sender.send(action)
            case PollLoad():
                self._spawn(poll_load(self._load_client, action, self._clock, self._core_task.post))
            case RefreshNotices(requested_at_s):
                self._spawn(self._notices.refresh(requested_at_s))
            case LogLine(event, fields):
                self._log.info(event, **dict(fields))
            case Stopped():
                self._spawn(self._exit_after_responses())

    def _start_attempt(self, action: StartAttempt) -> None:
        wait_for_space = partial(space_waiter, self._mailboxes)
        coroutine = run_attempt(action, self._pool, self._core_task.post, wait_for_space)
        task = asyncio.create_task(coroutine)
        self._attempts[action.attempt_id] = task
        task.add_done_callback(partial(self._on_attempt_done, action.attempt_id))

    def _on_attempt_done(self, attempt_id: str, task: asyncio.Task[None]) -> None:
        """Fail an attempt that ended with an error; a broken invariant ends the process."""
        self._attempts.pop(attempt_id, None)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, AssertionError):
            self._on_task_done(task)
        elif error is not None:
            self._log.error("attempt failed unexpectedly", attempt_id=attempt_id, error=repr(error))
            self._core_task.post(AttemptFailed(attempt_id, FailureCause.SERVER_ERROR, sent=True))

    async def _exit_after_responses(self) -> None:
        """Wait until the last responses are sent, then end the process.

        A request that still arrives on a keep-alive connection is refused with a reason rather
        than reset, so the listener closes first and the connections after an idle period.
        """
        self._server.stop()
        idle_s = 0.0
        while idle_s < IDLE_BEFORE_EXIT_S:
            await asyncio.sleep(MAILBOX_POLL_S)
            idle_s = 0.0 if self._mailboxes else idle_s + MAILBOX_POLL_S
        self._exit_event.set()

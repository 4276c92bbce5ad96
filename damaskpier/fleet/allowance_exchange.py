"""Messages about the allowances of teams; service ``allowances``.

Every node is an entry node. The node that is first in the rendezvous order of
the reachable nodes is the owner of all allowances. In a large fleet, each
region has an owner for its part of the limits.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from damaskpier.fleet import peers
from damaskpier.http1 import client
from damaskpier.http1 import messages as http_messages
from damaskpier import registry
from damaskpier.teams import allowance_messages
from damaskpier.teams import allowance_owner
from damaskpier.teams import allowance_terms
from damaskpier.teams import allowances
from damaskpier.util import rendezvous

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from damaskpier import application
    from damaskpier import config
    from damaskpier.fleet import model

LOG = logging.getLogger(__name__)

# Key of the rendezvous order of the owner. One owner for all teams lets a node
# report all of them in one message.
OWNER_KEY = 'allowances'
# With more nodes than this, each region has an owner. One for 660 nodes would
# get 1,300 messages a second, which takes about a third of a core.
MAX_NODES_PER_OWNER = 250
# A busy node answers late. The message after this one is still sent within
# the time in which the node may admit requests without tokens.
MESSAGE_TIMEOUT_S = 0.35
# A request waits for this time for tokens: the interval of messages, and two
# of the longest ways between nodes.
MAX_WAIT_S = 0.2
# Pause before the node looks again whether it knows the size of the fleet.
UNSETTLED_PAUSE_S = 0.1
# The counter of refusals names this many teams, the first that were refused.
# The others are counted together.
MAX_TEAM_LABELS = 32
OTHER_TEAMS = 'other'


class _Waiter(NamedTuple):
    """Request that waits; ``answered`` is done after the next answer."""

    team: str
    answered: asyncio.Future[None]


class AllowanceExchange(registry.Service):
    """Decides on the requests of teams, and speaks with the owner.

    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._app = app
        self._clock = clock
        cfg = app.cfg
        self._bounds = _bounds_in(cfg)
        now = clock()
        self._node_id = cfg.text('node', 'id')
        self._entry = allowances.EntryNode(self._node_id, now)
        self._owner = allowance_owner.Owner(self._bounds.window_s, now)
        self._terms: dict[str, allowance_terms.Terms] = {}
        # Number of the nodes of the fleet, reachable or not; 0 while it is
        # unknown.
        self._node_count = 0
        self._node_ids: set[str] = set()
        self._registered: frozenset[str] = frozenset()
        self._owner_id = ''
        self._is_view_changed = True
        self._waiters: list[_Waiter] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float('inf')
        self._tasks: set[asyncio.Task[object]] = set()
        self._is_running = False
        self._labelled: set[str] = set()
        app.events.connect('config-applied', self._config_applied)
        app.events.connect('membership-delta', self._membership_changed)
        app.events.connect('settings-changed', self._settings_changed)

    async def start(self) -> None:
        """Start to report to the owner, if a team has a limit."""
        self._is_running = True
        metrics = self._app.service('metrics')
        metrics.register_gauge(
            'allowance_limited_teams', lambda: self._owner.limited_count
        )
        metrics.register_gauge('allowance_apart', lambda: self._is_apart())
        self._plan()

    async def stop(self) -> None:
        """Cancel the messages in flight."""
        self._is_running = False
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        self._release(self._take_waiters())

    async def admit(self, team: str) -> float | None:
        """Count a request against the allowance of its team.

        :returns: None if the request is admitted, otherwise the time in
            seconds after which it is worth coming back
        """
        terms = self._terms.get(team)
        if terms is None:
            return None
        decision = self._decide(team, terms)
        if decision.verdict is allowances.Verdict.WAIT:
            decision = await self._wait(team, terms)
        if decision.verdict is allowances.Verdict.ADMIT:
            return None
        self._count_refusal(team)
        return decision.retry_s

    def give_back(self, team: str, admitted_at: float) -> None:
        """Return the allowance of a request that did not run."""
        if team in self._terms:
            self._entry.give_back(team, admitted_at, self._clock())

    def received(self, body: bytes) -> http_messages.Response:
        """Apply the report of another node and return the answer."""
        self._app.service('metrics').increment('allowance_messages_received')
        try:
            report = allowance_messages.decode_report(body)
        except msgspec.MsgspecError as exc:
            LOG.warning('allowances: can not decode a message: %s', exc)
            return http_messages.Response(400)
        self._refresh_view()
        if not self._node_count:
            # Unlike the sender, this node does not know the fleet yet.
            return http_messages.Response(503)
        reply = self._receive(report)
        return http_messages.Response(
            200, (), allowance_messages.encode(reply)
        )

    def _decide(
        self, team: str, terms: allowance_terms.Terms
    ) -> allowances.Decision:
        if not self._node_count:
            return allowances.Decision(
                allowances.Verdict.REFUSE, allowances.NO_OWNER_RETRY_S
            )
        now = self._clock()
        decision = self._entry.decide(team, terms, self._node_count, now)
        self._plan()
        return decision

    async def _wait(
        self, team: str, terms: allowance_terms.Terms
    ) -> allowances.Decision:
        answered = asyncio.get_running_loop().create_future()
        waiter = _Waiter(team, answered)
        self._waiters.append(waiter)
        try:
            await asyncio.wait((answered,), timeout=MAX_WAIT_S)
        except asyncio.CancelledError:
            self._entry.abandon_waiting(team)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return self._entry.decide_waiting(
            team, terms, self._node_count, self._clock()
        )

    def _settings_changed(self, before: config.Settings) -> None:
        bounds = _bounds_in(self._app.cfg)
        if bounds == self._bounds:
            return
        self._bounds = bounds
        self._owner.window_s = bounds.window_s
        cfg = self._app.service('configuration').current()
        if cfg is not None:
            self._config_applied(cfg)

    def _config_applied(self, cfg: model.Configuration) -> None:
        had_terms = bool(self._terms)
        self._terms = {
            team.name: allowance_terms.make_terms(
                self._bounds, team.rate_per_s, team.burst
            )
            for team in cfg.teams
            if team.rate_per_s > 0
        }
        if not had_terms:
            self._entry.resume(self._clock())
        self._plan()

    def _membership_changed(self, records: object, source: object) -> None:
        self._is_view_changed = True

    def _refresh_view(self) -> None:
        """Find the size of the fleet and the owner."""
        registered = self._app.service('exchange').directory_ids
        is_registration_new = registered is not self._registered
        if not (
            self._is_view_changed
            or is_registration_new
            or not self._node_count
        ):
            return
        self._is_view_changed = False
        membership = self._app.service('membership')
        if is_registration_new:
            self._registered = registered
            self._node_ids |= registered
        for record in membership.all_records():
            # A node that was lost without draining may still be at work behind
            # a broken link.
            if record.gone and record.draining:
                self._node_ids.discard(record.node_id)
            else:
                self._node_ids.add(record.node_id)
        if not registered and len(self._node_ids) < 2:
            # A node that took itself for the whole fleet would use the whole
            # limit of each team.
            return
        self._node_count = len(self._node_ids)
        region = membership.local_record().region
        is_large = self._node_count > MAX_NODES_PER_OWNER
        reachable = [
            record
            for record in membership.nodes()
            if not record.draining
            and (record.region == region or not is_large)
        ]
        self._owner_id = min(
            (record.node_id for record in reachable),
            key=lambda node_id: rendezvous.score(OWNER_KEY, node_id),
            default=self._node_id,
        )
        if self._owner_id != self._entry.owner_id:
            LOG.info('allowances: the owner is %s', self._owner_id)
        former = self._entry.set_owner(self._owner_id, self._clock())
        if former and former != self._node_id:
            self._spawn(self._request(former, self._entry.make_farewell()))

    def _plan(self) -> None:
        """Set the timer to the time of the next message."""
        due_at = self._entry.due_at()
        if due_at is None or not self._terms or not self._is_running:
            return
        if self._timer is not None:
            if self._timer_at <= due_at:
                return
            self._timer.cancel()
        self._timer_at = due_at
        self._timer = asyncio.get_running_loop().call_later(
            max(0.0, due_at - self._clock()), self._wake
        )

    def _wake(self) -> None:
        self._timer = None
        self._refresh_view()
        if not self._node_count:
            self._timer_at = self._clock() + UNSETTLED_PAUSE_S
            self._timer = asyncio.get_running_loop().call_later(
                UNSETTLED_PAUSE_S, self._wake
            )
            return
        report = self._entry.make_report(self._clock())
        waiters = self._take_waiters()
        if self._owner_id == self._node_id:
            self._entry.apply_reply(self._node_id, self._receive(report))
            self._release(waiters)
            self._plan()
            return
        self._spawn(self._send(report, waiters))

    async def _send(
        self, report: allowance_messages.Report, waiters: list[_Waiter]
    ) -> None:
        owner_id = self._owner_id
        reply = None
        try:
            reply = await self._request(owner_id, report)
        except Exception:
            # Without the end of this message, no other one would be sent.
            LOG.exception('allowances: can not send a report')
        finally:
            self._release(waiters)
        metrics = self._app.service('metrics')
        metrics.increment('allowance_messages_sent')
        if reply is None:
            metrics.increment('allowance_messages_lost')
            self._entry.fail(self._clock())
            if self._is_apart():
                LOG.warning(
                    'allowances: no answer from the owner %s; this node uses '
                    'its part of the limits, 1/%d',
                    owner_id,
                    self._node_count,
                )
        else:
            self._entry.apply_reply(owner_id, reply)
        self._plan()

    async def _request(
        self, node_id: str, report: allowance_messages.Report
    ) -> allowance_messages.Reply | None:
        record = self._app.service('membership').get(node_id)
        if record is None:
            return None
        body = allowance_messages.encode(report)
        outcome = (
            await self._app.service('peers')
            .pool(record)
            .request(
                http_messages.encode_request(
                    'POST',
                    peers.ALLOWANCE_PATH,
                    (('Host', record.host),),
                    body,
                ),
                client.Options(
                    asyncio.get_running_loop().time() + MESSAGE_TIMEOUT_S
                ),
            )
        )
        if isinstance(outcome, http_messages.Failure):
            LOG.debug('allowances: no reply: %s', outcome)
            self._app.service('exchange').check_node(record)
            return None
        if outcome.status != 200:
            LOG.debug('allowances: refused with %d', outcome.status)
            return None
        try:
            return allowance_messages.decode_reply(outcome.body)
        except msgspec.MsgspecError as exc:
            LOG.warning('allowances: can not decode a reply: %s', exc)
            return None

    def _spawn(self, coro: Coroutine[object, object, object]) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            LOG.error('allowances: a task failed', exc_info=task.exception())

    def _receive(
        self, report: allowance_messages.Report
    ) -> allowance_messages.Reply:
        reply = self._owner.receive(
            report, self._terms, self._node_count, self._clock()
        )
        for team, is_limited in self._owner.take_changes():
            if is_limited:
                LOG.info('allowances: team %s is near its limit', team)
            else:
                LOG.info('allowances: team %s is below its limit again', team)
        return reply

    def _take_waiters(self) -> list[_Waiter]:
        waiters, self._waiters = self._waiters, []
        return waiters

    def _release(self, waiters: list[_Waiter]) -> None:
        for waiter in waiters:
            if not waiter.answered.done():
                waiter.answered.set_result(None)

    def _is_apart(self) -> bool:
        return bool(self._terms) and self._entry.is_apart(self._clock())

    def _count_refusal(self, team: str) -> None:
        if team not in self._labelled:
            if len(self._labelled) >= MAX_TEAM_LABELS:
                team = OTHER_TEAMS
            else:
                self._labelled.add(team)
        self._app.service('metrics').increment('allowance_refusals', team=team)


def _bounds_in(cfg: config.Settings) -> allowance_terms.Bounds:
    return allowance_terms.Bounds(
        cfg.number('fleet', 'allowance_window'),
        cfg.number('fleet', 'allowance_over'),
        cfg.number('fleet', 'allowance_slack'),
    )


def setup(app: application.Application) -> None:
    """Register the service ``allowances``."""
    app.add_service(
        'allowances',
        AllowanceExchange(app),
        after=('metrics', 'configuration', 'membership', 'peers', 'exchange'),
    )

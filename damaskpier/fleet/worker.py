"""Admission and calls to the node's local upstream; service ``worker``.

Only this node connects to the upstream, so that it can count exactly what
runs there: the upstream gets no more requests than it has slots, and none
once it is draining.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import math
import time
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import admission_report
from damaskpier.fleet import authentication
from damaskpier.fleet import header_codec
from damaskpier.fleet import health_check
from damaskpier.fleet import local_pace
from damaskpier.fleet import local_service
from damaskpier.fleet import model
from damaskpier.fleet import region_check
from damaskpier.fleet import reported_load
from damaskpier.http1 import client
from damaskpier.http1 import messages as http_messages
from damaskpier.http1 import pacing
from damaskpier import logs
from damaskpier.mesh import model as mesh_model
from damaskpier import registry
from damaskpier.traffic import admission
from damaskpier.traffic import messages
from damaskpier.traffic import start_limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier import config

LOG = logs.get_logger(__name__)

# When the upstream has neither announced itself nor answered a request for
# this many heartbeat intervals, it gets a health check, and is removed from
# routing if it does not answer that. Announcements may be seconds late.
MAX_MISSED_ANNOUNCEMENTS = 3
# The upstream runs on the same host. A crashed one refuses the connection at
# once, so that only one that hangs stays in routing for this time.
HEALTH_CHECK_TIMEOUT_S = 0.5
# Requests are still admitted for this time after the upstream starts to drain,
# because other nodes may have sent them before they learned of it.
LEAVING_ADMIT_S = 0.5
# Length of the queue per slot.
QUEUE_LENGTH_PER_SLOT = 3
# A request that must not be repeated uses no connection that was idle for
# longer: if the upstream closes the connection at the same moment, it is
# unknown whether the request ran.
NON_REPEATABLE_MAX_IDLE_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# The upstream gets a deadline this much earlier, which leaves time for the
# response to reach the caller.
RESPONSE_MARGIN_S = 0.005
# After this many failed connections in a row, the upstream is removed from
# routing until it announces itself again.
MAX_CONNECT_FAILURES = 2
# The upstream runs on the same host, where an acknowledgement takes far less
# than this unless the upstream has stopped.
USER_TIMEOUT_MS = 500
# Interval between two looks at requests that a limit holds back.
MIN_START_DELAY_S = 0.005
# Window over which the ratio of retries among the runs is computed.
RETRY_RATIO_WINDOW_S = 5.0


class _Call:
    """State of a request.

    ``sent_at`` is None while the request waits for a slot.
    ``leaving_started_ms`` is the start of the upstream if it has said in its
    answer that it is leaving.
    """

    __slots__ = ('received_at', 'sent_at', 'leaving_started_ms')

    def __init__(self, received_at: float) -> None:
        self.received_at = received_at
        self.sent_at: float | None = None
        self.leaving_started_ms: int | None = None


class LocalWorker(registry.Service):
    """Runs requests on the local upstream.

    :param codec: translates headers for the upstream
    :param clock: returns the time in seconds
    :param wall: returns the time in seconds since the epoch, by the clock from
        which the upstream on the same host takes the time of its start
    """

    def __init__(
        self,
        app: application.Application,
        codec: header_codec.HeaderCodec,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.admission = admission.Admission(clock)
        self._link = start_limits.LinkLimit(
            lambda: pacing.running_pacer().backlog_bytes,
            lambda: pacing.running_pacer().bytes_per_s,
        )
        self._rate = start_limits.RateLimit(clock)
        self.pace = reported_load.ReportedPace(codec, clock)
        self._local_pace = local_pace.LocalPace(
            app, self.admission, codec, clock, wall() * 1000
        )
        self.admission.limits = (
            self._link,
            self._rate,
            *self._local_pace.limits,
        )
        self.admission.on_delay = self._start_waiting_later
        self._report = admission_report.AdmissionReport(clock)
        self._start_timer: asyncio.TimerHandle | None = None
        self.announcement: model.Announcement | None = None
        self.service = local_service.LocalService(
            app.cfg.text('node', 'service')
        )
        self._app = app
        self._codec = codec
        self._clock = clock
        self._wall = wall
        self._pool: client.Pool | None = None
        # Latest start of each instance that has left. Announcements of this
        # start and of earlier ones are ignored.
        self._left_started_ms: dict[str, int] = {}
        # Announcement that is not used before the departures in the store are
        # known, or the upstream has passed a health check.
        self._held: model.Announcement | None = None
        # Instance that has passed a health check since this node started. So
        # it had not left before.
        self._checked_instance = ''
        # Time of the loop's clock at which the upstream announced itself or
        # answered a request most recently.
        self._heard_at = 0.0
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._health_task: asyncio.Task[None] | None = None
        self._refusal_timer: asyncio.TimerHandle | None = None
        self._connect_failures = 0
        self._recent_runs: collections.deque[tuple[float, bool]] = (
            collections.deque()
        )
        self._recent_retries = 0
        self._node_draining = False
        # Service of the upstream that the admission has learned about.
        self._admitted_service = self.service.name
        self._heartbeat_s = app.cfg.number('fleet', 'heartbeat')
        app.events.connect('left-worker-learned', self._learn_left)
        app.events.connect('departures-known', self._apply_held)
        app.events.connect('evacuations-changed', self._evacuations_changed)
        app.events.connect('settings-changed', self._settings_changed)

    async def start(self) -> None:
        """Register the gauges of the load."""
        metrics_service = self._app.service('metrics')
        metrics_service.register_gauge(
            'upstream_slots', lambda: self.admission.load.slots
        )
        metrics_service.register_gauge(
            'upstream_in_use', lambda: self.admission.load.in_use
        )
        metrics_service.register_gauge(
            'upstream_queued', lambda: self.admission.load.queued
        )
        self._local_pace.register_gauges(metrics_service)
        admission_report.register_gauges(metrics_service, self.admission)

    async def stop(self) -> None:
        """Close the connections."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        if self._health_task is not None:
            self._health_task.cancel()
        if self._start_timer is not None:
            self._start_timer.cancel()
        if self._pool is not None:
            self._pool.close_idle()

    def apply_announcement(self, announcement: model.Announcement) -> bool:
        """Apply an announcement of the upstream unless it is stale.

        A node that has just started does not know yet whether the upstream
        has left. Until then, the announcement is held, see
        :meth:`apply_health`.

        :returns: whether the announcement was applied
        """
        if self._is_stale(announcement) or self.service.has_ended(
            announcement
        ):
            LOG.info(
                'worker: ignored a stale announcement of %s, sequence %d',
                announcement.instance,
                announcement.sequence,
            )
            return False
        if not announcement.draining and not self._has_not_left(announcement):
            self._hold(announcement)
            return False
        self._held = None
        known = self.announcement
        self._set_service(announcement)
        self.announcement = announcement
        self._local_pace.announced(announcement)
        self._connect_failures = 0
        self._heard_at = asyncio.get_running_loop().time()
        self._restart_expiry()
        if (
            known is None
            or known.instance != announcement.instance
            # The instance has started again, and its predecessor's requests
            # are refused.
            or (known.draining and known.started_ms != announcement.started_ms)
        ):
            self._set_up_instance(announcement)
        elif known.slots != announcement.slots:
            self._set_slots(announcement.slots)
        if announcement.draining:
            self._start_draining(announcement, 'draining')
            self._publish_left(
                model.Departure(announcement.instance, announcement.started_ms)
            )
        self._publish()
        return True

    def apply_health(self, health: model.Health) -> None:
        """Use the result of a health check until the first announcement.

        The result does not contain the version, so that the upstream gets no
        requests of a service with a running move. An upstream that is leaving
        does not pass the check.
        """
        self._checked_instance = health.instance
        held = self._held
        if held is not None and held.instance == health.instance:
            self._apply_held()
        if self.announcement is not None:
            self._local_pace.checked(health)
            return
        address = self._app.cfg.address('upstream', 'address')
        self.apply_announcement(
            model.Announcement(
                health.instance,
                self.service.name,
                '',
                address.host,
                address.port,
                health.slots,
                draining=False,
                sequence=0,
                warmup_s=health.warmup_s,
            )
        )

    def record_check(self) -> None:
        """Record a health check, which counts as a request to the upstream."""
        self._local_pace.record_check()

    def needs_check(self) -> bool:
        """Return whether a health check may bring the upstream into use."""
        return self.announcement is None or self._held is not None

    def left(self, instance: str, started_ms: int = 0) -> model.Departure:
        """Start draining for good because the upstream is leaving.

        Later announcements of the same start of the instance are ignored.

        :param started_ms: start of the leaving upstream since the epoch; 0 if
            the leave notice does not contain it
        :returns: the departure, which contains the start in any case
        """
        known = self.announcement
        LOG.info(
            'worker: %s, started at %d ms, is leaving; last announcement of '
            '%s, started at %d ms',
            instance,
            started_ms,
            known.instance if known else '-',
            known.started_ms if known else 0,
        )
        if known is not None and known.instance == instance:
            if not started_ms:
                started_ms = known.started_ms
            # A restarted upstream may keep its instance. The notice of an
            # earlier start does not concern it.
            if started_ms >= known.started_ms:
                self.announcement = known._replace(draining=True)
                self._start_draining(known, 'left')
                self._publish()
        return self._record_left(instance, started_ms)

    def drain_node(self) -> None:
        """Announce the worker to other nodes as draining."""
        self._node_draining = True
        self._publish()

    async def call(self, request: messages.Request) -> messages.Reply:
        """Run a request on the upstream, or refuse it.

        :returns: the answer or refusal, with the load after it
        """
        call = _Call(self._clock())
        try:
            result = await self._admit(call, request)
        except asyncio.CancelledError:
            self._log_cancellation(call, request)
            raise
        load = self.load
        self._report.record(request, result)
        if isinstance(result, errors.Refusal):
            self._app.service('metrics').increment(
                'worker_refusals',
                code=str(result.code),
                priority=str(request.priority),
            )
            LOG.info(
                'worker: %s of %s refused: %s; run %s; %d running, %d queued, '
                '%d slots, service time %d ms',
                request.request_id,
                request.route,
                result,
                errors.RUN_STATE_NAMES[result.run],
                load.in_use,
                load.queued,
                load.slots,
                self.admission.service_s * 1000,
            )
        return messages.Reply(result, load, call.leaving_started_ms)

    @property
    def load(self) -> messages.Load:
        """Return the load that replies report to the callers' nodes."""
        load = self.admission.load._replace(
            link_busy_s=self._link.busy_s(self.admission.waiting),
            wait_s=max(
                limit.wait_s(
                    len(self.admission.waiting), self.admission.service_s
                )
                for limit in (self._rate, *self._local_pace.limits)
            ),
        )
        return self.pace.add_to(load)

    def _start_waiting_later(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time() + max(delay_s, MIN_START_DELAY_S)
        if self._start_timer is not None:
            if self._start_timer.when() <= at:
                return
            self._start_timer.cancel()
        self._start_timer = loop.call_at(at, self._start_waiting)

    def _start_waiting(self) -> None:
        self._start_timer = None
        self.admission.start_waiting()

    def _log_cancellation(
        self, call: _Call, request: messages.Request
    ) -> None:
        now = self._clock()
        self._app.service('metrics').increment(
            'worker_cancellations',
            state='waiting' if call.sent_at is None else 'sent',
        )
        LOG.info(
            'worker: %s of %s cancelled, %d ms after it arrived, %s',
            request.request_id,
            request.route,
            (now - call.received_at) * 1000,
            'while it waited for a slot'
            if call.sent_at is None
            else f'{(now - call.sent_at) * 1000:.0f} ms after it was sent',
        )

    def recent_retry_ratio(self) -> float:
        """Return the ratio of retries among the recent runs."""
        oldest = self._clock() - RETRY_RATIO_WINDOW_S
        while self._recent_runs and self._recent_runs[0][0] < oldest:
            self._recent_retries -= self._recent_runs.popleft()[1]
        return self._recent_retries / max(1, len(self._recent_runs))

    def _has_not_left(self, announcement: model.Announcement) -> bool:
        """Return whether the upstream is known not to have left.

        The announcement does not show that: it may be late.
        """
        return (
            announcement.instance == self._checked_instance
            or self._app.service('departures').are_known
        )

    def _hold(self, announcement: model.Announcement) -> None:
        held = self._held
        if held is None or (
            (held.started_ms, held.sequence)
            < (announcement.started_ms, announcement.sequence)
        ):
            LOG.info(
                'worker: %s is not used before the store or a health check '
                'shows that it has not left',
                announcement.instance,
            )
            self._held = announcement
        self._app.events.emit('announcement-held')

    def _apply_held(self) -> None:
        held, self._held = self._held, None
        if held is not None:
            self.apply_announcement(held)

    def _settings_changed(self, before: config.Settings) -> None:
        cfg = self._app.cfg
        self._heartbeat_s = cfg.number('fleet', 'heartbeat')
        if self.announcement is not None:
            self._restart_expiry()
        service = cfg.text('node', 'service')
        if service == before.text('node', 'service'):
            return
        self.service.configure(service, int(self._wall() * 1000))
        held = self._held
        if held is not None and self.service.has_ended(held):
            self._held = None
        known = self.announcement
        if known is not None and self.service.has_ended(known):
            self._remove_instance(f'was replaced by one of {service}')

    def _set_service(self, announcement: model.Announcement) -> None:
        if announcement.service != self.service.name:
            LOG.info(
                'worker: %s announced itself for %s, after %s',
                announcement.instance,
                announcement.service,
                self.service.name or 'no service',
            )
        cfg = self._app.service('configuration').current()
        if cfg is None or announcement.service in cfg.services:
            self.service.announced(announcement)
        if announcement.service != self._admitted_service:
            self._admitted_service = announcement.service
            self.admission.forget_service_times()
            self._local_pace.service_changed(announcement.service)

    def _evacuations_changed(self, is_local: bool) -> None:
        if is_local:
            refusal = self._app.service('evacuations').local_refusal()
            self.admission.refuse_queued(refusal)
        self._local_pace.evacuated(is_local, self.announcement)

    def _learn_left(self, instance: str, started_ms: int) -> None:
        """Apply a departure from before this node started."""
        known = self.announcement
        if (
            known is not None
            and not known.started_ms
            and known.instance == instance == self._checked_instance
        ):
            # The health check was passed by a later start of the instance.
            self._record_left(instance, started_ms)
            return
        self.left(instance, started_ms)

    def _is_stale(self, announcement: model.Announcement) -> bool:
        left_ms = self._left_started_ms.get(announcement.instance)
        if left_ms is not None and announcement.started_ms <= left_ms:
            return True
        known = self.announcement
        if known is None:
            return False
        if announcement.started_ms != known.started_ms:
            return announcement.started_ms < known.started_ms
        return (
            announcement.instance == known.instance
            and announcement.sequence <= known.sequence
        )

    def _record_left(self, instance: str, started_ms: int) -> model.Departure:
        if not started_ms:
            # The start is unknown, for example because this node started
            # after the upstream's last announcement, but it is in the past.
            started_ms = int(self._wall() * 1000)
        started_ms = max(started_ms, self._left_started_ms.get(instance, 0))
        self._left_started_ms[instance] = started_ms
        departure = model.Departure(instance, started_ms)
        self._publish_left(departure)
        return departure

    def _publish_left(self, departure: model.Departure) -> None:
        """Let the other nodes and the store keep a departure."""
        self._app.service('membership').set_left_worker(*departure)
        self._app.service('departures').add(departure)

    def _set_up_instance(self, announcement: model.Announcement) -> None:
        LOG.info(
            'worker: %s of %s %s announced itself with %d slots',
            announcement.instance,
            announcement.service,
            announcement.version,
            announcement.slots,
        )
        if self._refusal_timer is not None:
            self._refusal_timer.cancel()
            self._refusal_timer = None
        if self._pool is not None:
            self._pool.close_idle()
        self._pool = client.Pool(
            announcement.host,
            announcement.port,
            max_idle=max(4, announcement.slots),
            connect_timeout_s=CONNECT_TIMEOUT_S,
            user_timeout_ms=USER_TIMEOUT_MS,
        )
        self.admission.draining = False
        self._rate.expect_answer()
        self.pace.reset()
        self._set_slots(announcement.slots)

    def _set_slots(self, slots: int) -> None:
        self.admission.configure(slots, QUEUE_LENGTH_PER_SLOT * slots)

    def _start_draining(
        self, announcement: model.Announcement, how: str
    ) -> None:
        if self.admission.draining or self._refusal_timer is not None:
            return
        LOG.info('worker: %s starts to drain (%s)', announcement.instance, how)
        self._refusal_timer = asyncio.get_running_loop().call_later(
            LEAVING_ADMIT_S, self._refuse_requests
        )

    def _refuse_requests(self) -> None:
        self._refusal_timer = None
        self.admission.draining = True
        self.admission.refuse_queued(_draining_refusal())

    def _restart_expiry(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._expiry_timer = asyncio.get_running_loop().call_at(
            self._heard_at + self._max_silence_s, self._check_silence
        )

    @property
    def _max_silence_s(self) -> float:
        return MAX_MISSED_ANNOUNCEMENTS * self._heartbeat_s

    def _is_silent(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now >= self._heard_at + self._max_silence_s

    def _check_silence(self) -> None:
        """Ask the upstream whether it runs if nothing was heard of it."""
        known = self.announcement
        if known is None:
            return
        path = self._health_path(known.service)
        if not self._is_silent():
            self._restart_expiry()
        elif known.draining or not path:
            self._remove_instance('is silent')
        else:
            self._health_task = asyncio.ensure_future(
                self._check_health(known, path)
            )

    async def _check_health(
        self, known: model.Announcement, path: str
    ) -> None:
        self._local_pace.record_check()
        outcome = await health_check.request(
            known.host, known.port, path, HEALTH_CHECK_TIMEOUT_S
        )
        health = None
        if isinstance(outcome, http_messages.Response):
            health = self._codec.decode_health(outcome)
        # An instance that has ended may have left its address to another one.
        if health is not None and health.instance == known.instance:
            self.pace.record(outcome)
            LOG.info(
                'worker: no heartbeat of %s for %.1f s, but it passed a '
                'health check',
                known.instance,
                self._max_silence_s,
            )
            self._record_answer(known)
            self._local_pace.checked(health)
        if self._is_silent():
            self._remove_instance('is silent')
        else:
            self._restart_expiry()

    def _record_answer(self, known: model.Announcement) -> None:
        """Record that the upstream of an announcement has answered."""
        if self._is_current(known):
            self._heard_at = asyncio.get_running_loop().time()

    def _is_current(self, known: model.Announcement) -> bool:
        """Return whether an announcement is of the start that runs now."""
        current = self.announcement
        # A health check does not tell the start.
        return (
            current is not None
            and current.instance == known.instance
            and known.started_ms in (0, current.started_ms)
        )

    def _apply_rate_limit(self, response: http_messages.Response) -> None:
        """Apply the limit in an answer of the upstream.

        A refusal that names none says nothing about the limit.
        """
        try:
            per_s = self._codec.decode_rate_limit(response)
        except ValueError as exc:
            LOG.warning(
                'worker: kept the rate limit %s of the upstream: %s',
                self._rate.per_s,
                exc,
            )
            per_s = self._rate.per_s
        if per_s is None and not self._codec.is_from_upstream(response):
            return
        if (per_s is None) != (self._rate.per_s is None):
            LOG.info(
                'worker: the upstream takes %s requests/s',
                'any number of' if per_s is None else f'{per_s:.1f}',
            )
        self._rate.set(per_s)
        self.admission.start_waiting()

    def _leave(self, known: model.Announcement) -> int:
        """Apply that the upstream says in an answer that it is leaving.

        :returns: start of the upstream since the epoch; 0 if unknown
        """
        if self._is_current(known):
            known = self.announcement
        left_ms = self._left_started_ms.get(known.instance)
        if left_ms is None or left_ms < known.started_ms:
            self.left(known.instance, known.started_ms)
        return known.started_ms

    def _health_path(self, service: str) -> str:
        cfg = self._app.service('configuration').current()
        spec = None if cfg is None else cfg.services.get(service)
        return '' if spec is None else spec.health_path

    def _remove_instance(self, reason: str) -> None:
        known = self.announcement
        if known is None:
            return
        LOG.warning(
            'worker: %s %s; removed from routing', known.instance, reason
        )
        self.announcement = None
        self._local_pace.removed()
        if known.draining:
            # Without the announcement, the sequence number of a delayed one
            # can not be compared.
            self._record_left(known.instance, known.started_ms)
        self.admission.refuse_queued(_missing_refusal())
        self._publish()

    def _publish(self) -> None:
        known = self.announcement
        membership = self._app.service('membership')
        if known is None:
            membership.apply_announcement(None)
            return
        membership.apply_announcement(
            mesh_model.Announcement(
                service=known.service,
                version=known.version,
                address=known.host,
                port=known.port,
                slots=known.slots,
                draining=known.draining or self._node_draining,
                instance=known.instance,
                started_ms=known.started_ms,
            )
        )

    async def _admit(
        self, call: _Call, request: messages.Request
    ) -> messages.Answer | errors.Refusal:
        refusal = self._refusal_if_unavailable(request)
        if refusal is not None:
            return refusal
        return await admission.run_admitted(
            self.admission,
            request,
            functools.partial(self._send, call),
            self._app.service('metrics'),
            self._clock,
        )

    def _refusal_if_unavailable(
        self, request: messages.Request
    ) -> errors.Refusal | None:
        known = self.announcement
        if known is None or self._pool is None:
            return _missing_refusal()
        if self.admission.draining:
            return _draining_refusal()
        refusal = self._app.service('evacuations').local_refusal()
        if refusal is not None:
            return refusal
        # Whether an upstream of unknown version may run the request is decided
        # by the caller's node.
        if known.service != request.service or (
            request.version and known.version not in ('', request.version)
        ):
            return errors.Refusal(
                errors.CALL_NO_WORKER,
                f'the upstream is {known.service} {known.version}',
            )
        return region_check.refuse_at_worker(self._app, request)

    async def _send(
        self, call: _Call, request: messages.Request
    ) -> messages.Answer | errors.Refusal:
        # The upstream may have changed while the request was queued.
        refusal = self._refusal_if_unavailable(request)
        if refusal is not None:
            return refusal
        known = self.announcement
        began = self._clock()
        self.recent_retry_ratio()
        self._recent_runs.append((began, request.is_repeat))
        self._recent_retries += request.is_repeat
        remaining_s = request.deadline - began - RESPONSE_MARGIN_S
        if remaining_s < 0.001:
            return errors.Refusal(
                errors.CALL_DEADLINE, 'the deadline passed in the queue'
            )
        fields = self._codec.encode_upstream_headers(
            authentication.headers_at_worker(self._app, self._codec, request),
            header_codec.UpstreamMetadata(
                known.instance, request.caller, remaining_s, request.team
            ),
        )
        call.sent_at = began
        outcome = await self._pool.request(
            http_messages.encode_request(
                request.method, request.target, fields, request.body
            ),
            client.Options(
                deadline=asyncio.get_running_loop().time() + remaining_s,
                is_head=request.method == 'HEAD',
                max_idle_s=math.inf
                if request.repeatable
                else NON_REPEATABLE_MAX_IDLE_S,
                id_header=self._codec.id_header,
                request_id=request.request_id,
                may_stay_unread=True,
                is_refusal=self._is_refusal,
            ),
        )
        took_s = self._clock() - began
        self._app.service('metrics').observe('upstream_call', took_s)
        self._local_pace.record_outcome(request.route, outcome, took_s)
        if isinstance(outcome, http_messages.Failure):
            return self._handle_failure(outcome)
        self._connect_failures = 0
        if self._codec.is_other_instance(outcome):
            self._remove_instance('was replaced at its address')
            return _missing_refusal()
        is_from_upstream = self._codec.is_from_upstream(outcome)
        if is_from_upstream:
            self._record_answer(known)
        if self._is_current(known):
            self._apply_rate_limit(outcome)
            self.pace.record(outcome)
        if self._codec.is_leaving(outcome):
            call.leaving_started_ms = self._leave(known)
        if self._codec.is_not_run(outcome):
            return errors.Refusal(
                errors.CALL_UPSTREAM_REFUSED,
                f'the upstream answered {outcome.status} without running it',
            )
        if not is_from_upstream:
            return errors.Refusal(
                errors.CALL_UNKNOWN,
                f'not an answer of the upstream: status {outcome.status}',
                errors.RunState.UNKNOWN,
            )
        if outcome.status < 300:
            self._link.record_response(request.route, len(outcome.body))
        return messages.Answer(
            outcome.status, outcome.headers, outcome.body, took_s
        )

    def _is_refusal(self, response: http_messages.Response) -> bool:
        return self._codec.is_not_run(
            response
        ) or self._codec.is_other_instance(response)

    def _handle_failure(
        self, failure: http_messages.Failure
    ) -> errors.Refusal:
        if not failure.sent:
            self._connect_failures += 1
            if self._connect_failures >= MAX_CONNECT_FAILURES:
                self._remove_instance(f'can not be reached: {failure.reason}')
            return errors.Refusal(errors.CALL_CONNECT, failure.reason)
        if failure.unacknowledged:
            self._remove_instance('acknowledges nothing')
        code = errors.CALL_UNKNOWN
        if failure.timed_out:
            code = errors.CALL_DEADLINE
        return errors.Refusal(code, failure.reason, errors.RunState.UNKNOWN)


def _draining_refusal() -> errors.Refusal:
    return errors.Refusal(errors.CALL_DRAINING, 'the upstream is leaving')


def _missing_refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.CALL_NO_WORKER, 'no upstream has announced itself'
    )


def setup(
    app: application.Application, codec: header_codec.HeaderCodec
) -> None:
    """Register the service ``worker``."""
    app.add_service(
        'worker',
        LocalWorker(app, codec),
        after=('metrics', 'departures', 'membership'),
    )

"""The upstream of the node: announcements, admission and calls."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier import registry
from damaskpier.traffic import admission
from damaskpier.traffic import curl_client
from damaskpier.traffic import headers
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from damaskpier import application
    from damaskpier.mesh import model

LOG = logging.getLogger(__name__)

# An announcement that is not repeated expires after this time.
ANNOUNCEMENT_TTL_S = 3.0
# The TTL is divided into this many waits. If one of them ends late by more
# than its length, the process was paused or got no processor time.
EXPIRY_CHECK_COUNT = 6
PROBE_INTERVAL_S = 5.0
PROBE_TIMEOUT_S = 1.0
PROBE_PATH = '/healthz'
DEFAULT_CONNECTION_COUNT = 32
DEFAULT_QUEUE_LENGTH = 32
DEFAULT_IDLE_COUNT = 8  # connections kept open if the slots are not known
# A probe costs the upstream as much as a request, so it is skipped if a call
# has finished within this time.
IDLE_BEFORE_PROBE_S = PROBE_INTERVAL_S


class Upstream(registry.Service):
    """Calls the upstream of this node.

    :param clock: returns the time in seconds
    :param rng: source of the jitter between probes
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.admission = admission.Admission(clock)
        self.announcement: model.Announcement | None = None
        self._app = app
        self._clock = clock
        self._rng = rng or random.Random()
        self._client: curl_client.UpstreamClient | None = None
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._expiry_check_at = 0.0
        self._remaining_expiry_checks = 0
        self._probe_task: asyncio.Task[None] | None = None
        self._node_draining = False
        self._is_draining = False
        self._failed_probes = 0
        self._last_answer_at = 0.0
        self._idle = asyncio.Event()
        self._idle.set()
        self._running = 0
        app.events.connect('config-applied', self._configure)
        app.events.connect('node-draining', self._on_node_draining)

    async def start(self) -> None:
        """Create the HTTP client of the upstream and start the probes."""
        self._client = curl_client.UpstreamClient(
            max_clients=DEFAULT_CONNECTION_COUNT,
            max_body_size=self._app.cfg.integer('limits', 'max_body'),
            force_instance=True,
        )
        self._probe_task = asyncio.create_task(self._probe_forever())
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

    async def stop(self) -> None:
        """Drain running requests, then close the connections."""
        await self.drain(self._app.cfg.number('limits', 'drain_timeout'))
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        if self._probe_task is not None:
            self._probe_task.cancel()
            await asyncio.gather(self._probe_task, return_exceptions=True)
        if self._client is not None:
            self._client.close()
            self._client = None

    def apply_announcement(self, announcement: model.Announcement) -> None:
        """Apply an announcement of the upstream.

        A draining upstream gets no request after this method returns.
        Requests that wait for a slot are refused, so that they can be retried
        on another worker.
        """
        self._restart_expiry()
        changed = announcement != self.announcement
        self.announcement = announcement
        if changed:
            self._configure()
            self.admission.draining = (
                self._is_draining or announcement.draining
            )
        if announcement.draining:
            self.admission.refuse_queued(_draining_refusal())
        # The membership needs each announcement, unchanged ones too, because
        # it detects that they have stopped.
        self._publish()

    async def call(self, request: messages.Request) -> messages.Reply:
        """Run a request on the upstream, or refuse it.

        Cancelling the call closes its connection to the upstream.
        """
        with self.track_request():
            result = await self._admit(request)
        return messages.Reply(result, self.admission.load)

    @contextlib.contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a running request, for which :meth:`drain` waits."""
        self._running += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()

    async def drain(self, timeout_s: float) -> bool:
        """Refuse new requests and wait until the running ones have ended.

        :param timeout_s: longest wait in seconds
        :returns: whether all of them ended in time
        """
        self._is_draining = True
        self.admission.draining = True
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except TimeoutError:
            LOG.warning(
                'traffic: %d requests still run after %g s',
                self._running,
                timeout_s,
            )
            return False
        return True

    def _on_node_draining(self) -> None:
        # Only the record changes here. The node still admits requests until
        # the other nodes have received the record.
        self._node_draining = True
        self._publish()
        self._app.service('membership').set_draining()

    def _publish(self) -> None:
        announcement = self.announcement
        if announcement is not None:
            if self._node_draining:
                announcement = announcement._replace(draining=True)
            elif self._failed_probes >= 2:
                announcement = announcement._replace(ready=False)
        self._app.service('membership').apply_announcement(announcement)

    def _restart_expiry(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._remaining_expiry_checks = EXPIRY_CHECK_COUNT
        self._schedule_expiry_check()

    def _schedule_expiry_check(self) -> None:
        loop = asyncio.get_running_loop()
        interval_s = ANNOUNCEMENT_TTL_S / EXPIRY_CHECK_COUNT
        self._expiry_check_at = loop.time() + interval_s
        self._expiry_timer = loop.call_at(
            self._expiry_check_at, self._check_expiry
        )

    def _check_expiry(self) -> None:
        late_s = asyncio.get_running_loop().time() - self._expiry_check_at
        if late_s > ANNOUNCEMENT_TTL_S / EXPIRY_CHECK_COUNT:
            # Announcements that arrived during a pause are not read yet.
            LOG.warning(
                'traffic: this process was paused for %.1f s, restarting the '
                'timeout of the announcement',
                late_s,
            )
            self._restart_expiry()
            return
        self._remaining_expiry_checks -= 1
        if self._remaining_expiry_checks:
            self._schedule_expiry_check()
        else:
            self._on_announcement_expired()

    def _on_announcement_expired(self) -> None:
        LOG.warning(
            'traffic: no announcement of the upstream for %g s, removing it '
            'from routing',
            ANNOUNCEMENT_TTL_S,
        )
        self.announcement = None
        self._publish()

    def _configure(self, *_: object) -> None:
        announcement = self.announcement
        if announcement is None:
            return
        slots, queue = announcement.slots, DEFAULT_QUEUE_LENGTH
        snapshot = self._app.service('configuration').current()
        if snapshot is not None:
            spec = snapshot.bundle.services.get(announcement.service)
            if spec is not None:
                slots, queue = slots or spec.slots, spec.queue
        self.admission.configure(slots, queue)
        if self._client is not None:
            self._client.set_connections(
                announcement.connections or DEFAULT_CONNECTION_COUNT,
                slots or DEFAULT_IDLE_COUNT,
            )

    def _refuse_unavailable(
        self, request: messages.Request
    ) -> errors.Refusal | None:
        announcement = self.announcement
        if announcement is None or self._client is None:
            return errors.Refusal(
                errors.CALL_NO_WORKER, 'no upstream has announced itself'
            )
        if announcement.draining:
            return _draining_refusal()
        wanted = (request.service, request.version)
        if wanted != (announcement.service, announcement.version):
            return errors.Refusal(
                errors.CALL_NO_WORKER,
                f'the upstream is {announcement.service} '
                f'{announcement.version}',
            )
        if not announcement.ready:
            return errors.Refusal(
                errors.CALL_NO_WORKER, 'the upstream is not ready'
            )
        return None

    async def _admit(
        self, request: messages.Request
    ) -> messages.Answer | errors.Refusal:
        refusal = self._refuse_unavailable(request)
        if refusal is not None:
            return refusal
        return await admission.run_admitted(
            self.admission,
            request,
            self._send,
            self._app.service('metrics'),
            self._clock,
        )

    async def _send(
        self, request: messages.Request
    ) -> messages.Answer | errors.Refusal:
        # The upstream may have begun to drain while the request waited.
        refusal = self._refuse_unavailable(request)
        if refusal is not None:
            return refusal
        assert self.announcement is not None
        assert self._client is not None
        began = self._clock()
        remaining_s = request.deadline - began
        if remaining_s < 0.001:
            return errors.Refusal(
                errors.CALL_DEADLINE, 'the deadline passed in the queue'
            )
        own_headers = (
            (headers.REQUEST_ID, request.request_id),
            (headers.DEPTH, str(request.depth)),
            (headers.DEADLINE, str(int(remaining_s * 1000))),
        )
        outcome = await self._client.run(
            curl_client.make_request(
                self._url(request.target),
                request.method,
                request.headers + own_headers,
                request.body,
                remaining_s,
                fresh=not request.repeatable,
            )
        )
        took_s = self._clock() - began
        self._app.service('metrics').observe('upstream_call', took_s)
        if isinstance(outcome, curl_client.Failure):
            return _refusal_of(outcome)
        self._last_answer_at = self._clock()
        if (
            outcome.code == 503
            and outcome.headers.get(headers.RUN) == 'not-run'
        ):
            return errors.Refusal(
                errors.CALL_UPSTREAM_REFUSED, 'the upstream shed the request'
            )
        fields = headers.end_to_end(outcome.headers.get_all())
        if request.method == 'HEAD' and 'Content-Length' in outcome.headers:
            length = outcome.headers['Content-Length']
            fields += (('Content-Length', length),)
        return messages.Answer(
            outcome.code, fields, outcome.body or b'', took_s
        )

    def _url(self, target: str) -> str:
        assert self.announcement is not None
        host = self.announcement.address
        if ':' in host:
            host = f'[{host}]'
        return f'http://{host}:{self.announcement.port}{target}'

    async def _probe_forever(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            idle_s = self._clock() - self._last_answer_at
            if self.announcement is None or idle_s < IDLE_BEFORE_PROBE_S:
                self._record_probe(True)
                continue
            if self._running:
                continue
            self._record_probe(await self._probe())

    async def _probe(self) -> bool:
        assert self._client is not None
        outcome = await self._client.run(
            curl_client.make_request(
                self._url(PROBE_PATH),
                'GET',
                (),
                b'',
                PROBE_TIMEOUT_S,
                fresh=False,
            )
        )
        return (
            not isinstance(outcome, curl_client.Failure) and outcome.code < 500
        )

    def _record_probe(self, healthy: bool) -> None:
        before = self._failed_probes
        self._failed_probes = 0 if healthy else before + 1
        if (before >= 2) != (self._failed_probes >= 2):
            self._publish()


def _draining_refusal() -> errors.Refusal:
    return errors.Refusal(errors.CALL_DRAINING, 'the upstream is draining')


def _refusal_of(failure: curl_client.Failure) -> errors.Refusal:
    run = errors.RunState.UNKNOWN if failure.sent else errors.RunState.NOT_RUN
    if failure.malformed:
        return errors.Refusal(errors.CALL_BAD_HEADER, failure.reason, run)
    if not failure.sent:
        return errors.Refusal(errors.CALL_CONNECT, failure.reason, run)
    if failure.too_large:
        return errors.Refusal(
            errors.CALL_TOO_LARGE, failure.reason, errors.RunState.RUN
        )
    if failure.timed_out:
        return errors.Refusal(errors.CALL_DEADLINE, failure.reason, run)
    return errors.Refusal(errors.CALL_UNKNOWN, failure.reason, run)


def setup(app: application.Application) -> None:
    """Register the service ``upstream``."""
    app.add_service(
        'upstream',
        Upstream(app),
        after=('metrics', 'configuration', 'membership'),
    )

"""HTTP server for callers; service ``ingress``."""

from __future__ import annotations

import asyncio
import math
import random
import time
from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import authentication
from damaskpier.fleet import model
from damaskpier.fleet import router
from damaskpier.http1 import messages as http_messages
from damaskpier.http1 import server
from damaskpier import logs
from damaskpier import registry
from damaskpier.traffic import headers
from damaskpier.traffic import messages
from damaskpier.util import loop_lag

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier import config
    from damaskpier.fleet import header_codec

LOG = logs.get_logger(__name__)

# After SIGTERM the node keeps serving until its callers have stopped sending,
# but for no longer than this part of the grace period.
SERVE_GRACE_RATIO = 0.5
# The worker is announced as draining at this part of the grace period at the
# latest, so that its last requests can end, and make their calls through this
# node, before the port closes.
WORKER_GRACE_RATIO = 0.36
# The platform redirects the callers after this many failed readiness probes in
# a row (PROTOCOL, readiness).
UNREADY_PROBE_COUNT = 2
# The callers have stopped sending when, after those probes, no request has
# arrived for this time, none is arriving, and none of the callers is still to
# come back after a refusal that asked for it.
CALLERS_IDLE_S = 0.3
DRAIN_POLL_S = 0.05
# Running requests have to end within this part of the grace period.
FINISH_GRACE_RATIO = 0.87
# Time for the responses to requests that have not ended by then.
LAST_RESPONSES_S = 0.1
# From this time after SIGTERM on, and from SERVE_GRACE_RATIO of the grace
# period on, a request is passed on only if its time limit is over before the
# running ones have to end. Earlier, the rest of the grace is long enough for
# nearly all requests, and their callers have no other node yet.
SERVE_ALL_S = 3.0
# Time limits end this much before the running requests have to, so that the
# answer of a worker that reaches its limit still arrives.
STOP_MARGIN_S = 0.1
# A request is refused at once while the event loop is late by more than this
# part of its objective: it has waited as long, and each of its later steps
# will. Without this, a node with more requests than processor time would be
# late with all of them.
MAX_LAG_RATIO = 0.4
# Calls of the local upstream have short objectives, and the request that makes
# them fails without them.
MIN_REFUSED_LAG_S = 0.05
# Retry-After as a multiple of the lateness, in which the loop catches up.
LAG_RETRY_RATIO = 2.0
# Time limit of a request for which neither the caller nor the route sets one.
DEFAULT_DEADLINE_S = 5.0
# Retry-After of a refused request: about as long as a request occupies a slot
# of a full worker.
RETRY_AFTER_S = 0.1
# The same as a part of the heartbeat interval while nodes or workers restart:
# they are back with the next heartbeat, and a caller that retries earlier uses
# up its retries.
RECOVERY_HEARTBEAT_RATIO = 0.5
JITTER_RATIO = 0.5
# Upper bound of Retry-After as a part of the caller's remaining time; after a
# longer delay the caller would not retry.
MAX_RETRY_AFTER_RATIO = 0.3

# Codes of refusals that occur while nodes or workers restart.
_RECOVERY_CODES = frozenset(
    (
        errors.CALL_NO_WORKER,
        errors.CALL_REGION,
        errors.CALL_KEYS_UNCONFIRMED,
        errors.CALL_NO_CONFIG,
        errors.CALL_CONNECT,
    )
)

_STATUS_BY_CODE = {
    errors.CALL_NO_ROUTE: 404,
    errors.CALL_BAD_HEADER: 400,
    errors.CALL_KEY: 401,
    errors.CALL_TOO_LARGE: 413,
    errors.CALL_DEADLINE: 504,
}


class _Stop(NamedTuple):
    """Times of a planned stop, of the service's clock in seconds.

    Before ``serves_all_until``, every request is passed on. Those that are
    passed on later have to end before ``ends_at``.
    """

    serves_all_until: float = math.inf
    ends_at: float = math.inf

    def limit_s(
        self, began: float, limit_s: float, is_repeatable: bool
    ) -> float:
        """Return the time limit of a request in seconds.

        A repeatable request gets what is left. One that may not be repeated
        would be lost if it ran into the shorter limit.

        :param began: arrival of the request
        :param limit_s: time limit without the stop
        :returns: 0 or less if the request must not be passed on
        """
        left_s = self.ends_at - began
        if began < self.serves_all_until or limit_s <= left_s:
            return limit_s
        return left_s if is_repeatable else 0.0


class Ingress(registry.Service):
    """HTTP server that routes the requests of callers.

    :param codec: translates headers of callers
    :param clock: returns the time in seconds
    :param rng: source of the jitter of Retry-After
    """

    def __init__(
        self,
        app: application.Application,
        codec: header_codec.HeaderCodec,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._app = app
        self._rng = rng or random.Random()
        self._codec = codec
        self._authenticator = authentication.Authenticator(app, codec)
        self._clock = clock
        self.server = server.Server(
            self._handle,
            self._limits,
            observe_arrival=self._observe_arrival,
        )
        self._grace_s = app.cfg.number('fleet', 'grace')
        self._heartbeat_s = app.cfg.number('fleet', 'heartbeat')
        self._unready_probes = 0
        self._last_request_at = 0.0
        # Number of requests of which the body is still to arrive.
        self._arriving = 0
        # Latest time at which a refused caller may retry.
        self._retries_until = 0.0
        self._stop = _Stop()
        self._lag = loop_lag.LoopLag()
        app.events.connect('settings-changed', self._settings_changed)

    async def start(self) -> None:
        """Listen for callers."""
        cfg = self._app.cfg
        await self.server.listen(
            cfg.text('node', 'host'), cfg.integer('node', 'http_port')
        )
        self._app.service('membership').set_ports(http_port=self.server.port)
        metrics = self._app.service('metrics')
        metrics.register_gauge('requests_running', lambda: self.server.running)
        metrics.register_gauge('event_loop_lag', lambda: self._lag.seconds)
        self._lag.start()

    async def stop(self) -> None:
        """Drain the node without interrupting a request."""
        began = self._clock()
        served_until = began + SERVE_GRACE_RATIO * self._grace_s
        until = began + FINISH_GRACE_RATIO * self._grace_s
        self._stop = _Stop(
            min(began + SERVE_ALL_S, served_until), until - STOP_MARGIN_S
        )
        self.server.start_draining()
        await self._wait_for_callers(
            began + WORKER_GRACE_RATIO * self._grace_s
        )
        # The worker serves other nodes until now, because its slots would be
        # missing when many nodes restart one after the other.
        self._app.service('worker').drain_node()
        peer_server = self._app.service('peer-server')
        await peer_server.drain(served_until)
        await self._wait_for_callers(served_until)
        LOG.info(
            'ingress: callers stopped sending or the time limit passed after '
            '%.2f s; %d readiness probes failed',
            self._clock() - began,
            self._unready_probes,
        )
        remaining_s = until - self._clock()
        timer = asyncio.get_running_loop().call_later(
            remaining_s, self._abandon_requests
        )
        if not await self.server.stop(remaining_s + LAST_RESPONSES_S):
            LOG.warning(
                'ingress: %d requests were cut or a response was not sent',
                self.server.running,
            )
        timer.cancel()
        self._lag.stop()
        await peer_server.drain(until)

    def check_readiness(self) -> bool:
        """Return the result of a readiness probe, and count failed ones.

        :returns: whether callers may send requests to this node
        """
        if self.server.draining:
            self._unready_probes += 1
            return False
        if self._app.service('configuration').current() is None:
            return False
        # A node that restarts while the store is unreachable learns of other
        # nodes from their gossip.
        return (
            self._app.service('exchange').is_registered
            or len(self._app.service('membership').nodes()) > 1
        )

    def _settings_changed(self, before: config.Settings) -> None:
        self._grace_s = self._app.cfg.number('fleet', 'grace')
        self._heartbeat_s = self._app.cfg.number('fleet', 'heartbeat')

    def _abandon_requests(self) -> None:
        LOG.warning(
            'ingress: %d requests are still running and get a failure',
            self.server.running,
        )
        self._app.service('router').abandon_requests()

    async def _wait_for_callers(self, until: float) -> None:
        """Wait until the callers have stopped sending.

        :param until: latest end, as a time of the clock in seconds
        """
        while self._clock() < until:
            if (
                self._unready_probes >= UNREADY_PROBE_COUNT
                and not self._arriving
                and self._clock() - self._last_caller_at() >= CALLERS_IDLE_S
            ):
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def _last_caller_at(self) -> float:
        """Return the time of the latest request or expected retry."""
        return max(self._last_request_at, self._retries_until)

    def _observe_arrival(
        self, fields: http_messages.Headers
    ) -> Callable[[], None]:
        self._arriving += 1
        return self._end_arrival

    def _end_arrival(self) -> None:
        self._arriving -= 1

    def _limits(self) -> server.Limits:
        cfg = self._app.service('configuration').current()
        limits = model.CallerLimits() if cfg is None else cfg.limits
        return server.Limits(*limits)

    async def _handle(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        began = self._last_request_at = self._clock()
        # The service may change while the request waits.
        service = self._app.service('worker').service.name
        metadata = self._codec.decode_caller_headers(request)
        table = self._app.service('configuration').table()
        if table is None:
            outcome = _refused_outcome(
                errors.CALL_NO_CONFIG, 'the node has no configuration yet'
            )
            return self._respond(metadata, None, outcome, began)
        route = table.match(request.header('host'), request.path)
        if route is None:
            outcome = _refused_outcome(
                errors.CALL_NO_ROUTE, f'no route for {request.path[:80]}'
            )
            return self._respond(metadata, None, outcome, began)
        caller = self._authenticator.authenticate(
            request, route, _forwarded_headers(request)
        )
        if isinstance(caller, errors.Refusal):
            outcome = router.Outcome(caller)
            return self._respond(metadata, route, outcome, began)
        limit_s = route.timeout_s or DEFAULT_DEADLINE_S
        if metadata.deadline_s is not None:
            limit_s = min(limit_s, metadata.deadline_s)
        max_lag_s = max(MAX_LAG_RATIO * route.objective_s, MIN_REFUSED_LAG_S)
        if self._lag.seconds > max_lag_s:
            outcome = _refused_outcome(
                errors.CALL_OVERLOADED,
                f'the node is late by {self._lag.seconds * 1000:.0f} ms',
            )
            return self._respond(metadata, route, outcome, began)
        limit_s = self._stop.limit_s(began, limit_s, route.repeatable)
        if limit_s <= 0:
            outcome = _refused_outcome(
                errors.CALL_DRAINING,
                'the node may end before the request does',
            )
            return self._respond(metadata, route, outcome, began)
        team = caller.team_name
        refused = await self._take_allowance(metadata, route, team)
        if refused is not None:
            return refused
        admitted_at = self._clock()
        outcome = await self._route(
            metadata,
            route,
            messages.Request(
                request_id=metadata.request_id,
                route=route.name,
                service='',
                version='',
                method=request.method,
                target=request.target,
                headers=caller.headers,
                body=request.body,
                deadline=began + limit_s,
                depth=0,
                repeatable=route.repeatable,
                priority=self._priority(caller, route),
                caller=service,
                objective=began + route.objective_s,
                team=team,
            ),
        )
        if _did_not_run(outcome):
            self._app.service('allowances').give_back(team, admitted_at)
        return self._respond(metadata, route, outcome, began)

    def _priority(
        self, caller: authentication.Caller, route: model.Route
    ) -> int:
        """Return the priority of a request.

        Where callers have teams, a request without one may be a call that the
        local worker makes for a request that it runs. Which one is unknown; if
        it is the most urgent one, most is lost with the call.
        """
        priority = caller.priority(route)
        if caller.team is not None or not self._has_teams():
            return priority
        running = self._app.service('worker').admission.most_urgent_running
        return priority if running is None else min(priority, running)

    def _has_teams(self) -> bool:
        return self._app.service('configuration').keys().is_required

    async def _take_allowance(
        self,
        metadata: header_codec.CallerMetadata,
        route: model.Route,
        team: str,
    ) -> http_messages.Response | None:
        """Count a request against the allowance of its team.

        :param team: empty if the request needs no key
        :returns: refusal of a request beyond the allowance; None otherwise
        """
        retry_s = await self._app.service('allowances').admit(team)
        if retry_s is None:
            return None
        self._app.service('metrics').increment(
            'requests', code=str(errors.CALL_ALLOWANCE)
        )
        LOG.debug(
            'ingress: %s of %s refused with 429: %s is beyond its allowance',
            metadata.request_id,
            route.name,
            team,
        )
        # The callers of a team are spread, as only some of them can have the
        # next part of its allowance.
        retry_s *= self._rng.uniform(1.0, 1.0 + JITTER_RATIO)
        # Callers do not come back after a longer delay than this.
        wait_s = metadata.deadline_s or DEFAULT_DEADLINE_S
        if retry_s <= MAX_RETRY_AFTER_RATIO * wait_s:
            self._retries_until = max(
                self._retries_until, self._clock() + retry_s
            )
        refusal = errors.Refusal(
            errors.CALL_ALLOWANCE, errors.CALL_ALLOWANCE.meaning
        )
        return http_messages.Response(
            429,
            self._codec.encode_retry_after(retry_s),
            f'{refusal}\n'.encode(),
        )

    async def _route(
        self,
        metadata: header_codec.CallerMetadata,
        route: model.Route,
        request: messages.Request,
    ) -> router.Outcome:
        began = self._clock()
        try:
            return await self._app.service('router').route(route, request)
        except asyncio.CancelledError:
            self._app.service('metrics').increment(
                'requests', code='cancelled'
            )
            LOG.info(
                'ingress: %s of %s: the caller closed the connection after '
                '%d ms',
                metadata.request_id,
                route.name,
                (self._clock() - began) * 1000,
            )
            raise

    def _respond(
        self,
        metadata: header_codec.CallerMetadata,
        route: model.Route | None,
        outcome: router.Outcome,
        began: float,
    ) -> http_messages.Response:
        result = outcome.result
        took_s = self._clock() - began
        metrics = self._app.service('metrics')
        metrics.observe('request', took_s)
        if isinstance(result, messages.Answer):
            metrics.increment('requests', code='answered')
            if result.status >= 500 or (route and took_s > route.objective_s):
                self._log_answer(metadata, route, outcome, result, took_s)
            return http_messages.Response(
                result.status, headers.end_to_end(result.headers), result.body
            )
        metrics.increment('requests', code=str(result.code))
        remaining_s = (metadata.deadline_s or DEFAULT_DEADLINE_S) - took_s
        status, fields = self._refusal_status(
            result, remaining_s, outcome.return_s
        )
        LOG.info(
            'ingress: %s of %s refused with %d: %s; run %s; %d attempts, '
            'last on %s, after %d ms, config %d',
            metadata.request_id,
            route.name if route else '-',
            status,
            result,
            errors.RUN_STATE_NAMES[result.run],
            outcome.attempts,
            outcome.worker or '-',
            took_s * 1000,
            self._app.service('configuration').version(),
        )
        body = f'{result}\n'.encode()
        return http_messages.Response(status, fields, body)

    def _log_answer(
        self,
        metadata: header_codec.CallerMetadata,
        route: model.Route | None,
        outcome: router.Outcome,
        answer: messages.Answer,
        took_s: float,
    ) -> None:
        LOG.info(
            'ingress: %s of %s answered with %d by %s, version %s, after %d '
            'ms; %d attempts, config %d',
            metadata.request_id,
            route.name if route else '-',
            answer.status,
            outcome.worker,
            outcome.version or 'any',
            took_s * 1000,
            outcome.attempts,
            self._app.service('configuration').version(),
        )

    def _refusal_status(
        self,
        result: errors.Refusal,
        remaining_s: float,
        return_s: float | None,
    ) -> tuple[int, http_messages.Headers]:
        if result.run is errors.RunState.NOT_RUN:
            status = _STATUS_BY_CODE.get(result.code, 503)
            if status in (503, 504):
                # Nothing has run, so that any request may be retried.
                retry_after_s = return_s
                if return_s is None:
                    retry_after_s = self._retry_after_s(
                        result.code, remaining_s
                    )
                self._retries_until = max(
                    self._retries_until, self._clock() + retry_after_s
                )
                return 503, self._codec.encode_retry_after(retry_after_s)
            return status, ()
        if result.code is errors.CALL_DEADLINE:
            return 504, ()
        return 502, ()

    def _retry_after_s(
        self, code: errors.ResultCode, remaining_s: float
    ) -> float:
        """Return after which time a refused caller may retry, in seconds.

        The jitter spreads the retries of callers that were refused together.

        :param code: reason of the refusal
        :param remaining_s: time for which the caller still waits
        """
        base_s = max(RETRY_AFTER_S, LAG_RETRY_RATIO * self._lag.seconds)
        if code in _RECOVERY_CODES:
            base_s = RECOVERY_HEARTBEAT_RATIO * self._heartbeat_s
        # The bound holds for the largest jitter as well.
        base_s = min(
            base_s,
            max(0.0, MAX_RETRY_AFTER_RATIO * remaining_s) / (1 + JITTER_RATIO),
        )
        return base_s * self._rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)


def _forwarded_headers(
    request: http_messages.Request,
) -> http_messages.Headers:
    host = request.header('host')
    return (('Host', host), *headers.end_to_end(request.headers))


def _did_not_run(outcome: router.Outcome) -> bool:
    result = outcome.result
    return (
        isinstance(result, errors.Refusal)
        and result.run is errors.RunState.NOT_RUN
    )


def _refused_outcome(code: errors.ResultCode, reason: str) -> router.Outcome:
    return router.Outcome(errors.Refusal(code, reason))


def setup(
    app: application.Application, codec: header_codec.HeaderCodec
) -> None:
    """Register the service ``ingress``, which starts after all others."""
    app.add_service(
        'ingress',
        Ingress(app, codec),
        after=(
            'metrics',
            'configuration',
            'membership',
            'rollouts',
            'worker',
            'peers',
            'peer-server',
            'exchange',
            'allowances',
            'router',
            'endpoints',
        ),
    )

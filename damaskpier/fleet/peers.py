"""Requests between nodes over HTTP/1.1; service ``peers``.

The caller's node adds headers of this system to the caller's request, and the
worker's node removes them. A response carries either the upstream's answer or
a result code with the run state.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import secrets
import time
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import attempts
from damaskpier.fleet import distances
from damaskpier.fleet import peer_call
from damaskpier.fleet import short_headers
from damaskpier.http1 import byte_counter
from damaskpier.http1 import client
from damaskpier.http1 import messages as http_messages
from damaskpier.http1 import pacing
from damaskpier.http1 import server
from damaskpier import registry
from damaskpier.traffic import headers
from damaskpier.traffic import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier.mesh import model

SERVICE = 'Damaskpier-Service'
ROUTE = 'Damaskpier-Route'
CALLER = 'Damaskpier-Caller'
PRIORITY = 'Damaskpier-Priority'
TEAM = 'Damaskpier-Team'
MAX_WAIT = 'Damaskpier-Patience-Ms'
OBJECTIVE = 'Damaskpier-Objective-Ms'
REPEATABLE = 'Damaskpier-Repeatable'
REPEAT = 'Damaskpier-Repeat'
LOAD = 'Damaskpier-Load'
# Time for which the link of the worker's node is taken. Nodes of earlier
# builds do not send it.
LINK_BUSY = 'Damaskpier-Link-Busy-Ms'
# Time until the worker takes another request, and the start in milliseconds
# since the epoch of a worker that is leaving; not sent by earlier builds.
WAIT = 'Damaskpier-Wait-Ms'
LEAVING = 'Damaskpier-Leaving'
# Pace of the worker in percent of the usual time, its age in milliseconds and
# the mean pace. It is no further field of LOAD, because earlier builds require
# three.
PACE = 'Damaskpier-Pace'
# Token of an attempt, in its request, in a question for it and in the answer
# to the question.
ATTEMPT = 'Damaskpier-Attempt'
AGE = 'Damaskpier-Age-Ms'
# Paths of the messages of the nodes themselves. A caller's request keeps its
# path, which may be one of these, but only it has the header SERVICE.
EXCHANGE_PATH = '/damaskpier/exchange'
# Path of messages about the allowances of teams. Nodes of earlier builds take
# such a message for a request and refuse it.
ALLOWANCE_PATH = '/damaskpier/allowances'
# Path of questions for an attempt that another connection carried, and of
# cancellations, which have the method CANCEL_METHOD. Nodes of earlier builds
# refuse a cancellation, because it has no age.
ATTEMPT_PATH = '/damaskpier/attempt'
CANCEL_METHOD = 'DELETE'
# Status of the answer if there is no record of the attempt. A reply that was
# found may have it, too, and has the header FOUND; nodes of earlier builds do
# not send that.
NO_RECORD = 404
FOUND = 'Damaskpier-Found'

# Refusals by the HTTP server of the worker's node. It has not passed the
# request on.
_CODE_BY_SERVER_STATUS = {
    400: errors.CALL_BAD_HEADER,
    408: errors.CALL_OVERLOADED,
    413: errors.CALL_TOO_LARGE,
    431: errors.CALL_TOO_LARGE,
    503: errors.CALL_OVERLOADED,
}

# A node that is running a request sends interim responses at this interval.
PROGRESS = server.Progress(initial_delay_s=0.15, interval_s=0.2)
# The peer gets a deadline this much earlier, so that its refusal, which
# contains the run state, arrives before the caller's node times out.
RESPONSE_MARGIN_S = 0.02
MAX_IDLE_CONNECTIONS = 24
UNUSED_POOL_CLOSE_S = 60.0
# Time that running requests of other nodes get after the grace period.
STOP_TIMEOUT_S = 0.2
# After this time, other nodes have learned that the worker is draining, and
# their earlier requests have arrived: the notice is batched for 20 ms and
# takes 8 ms between regions, and a lost packet is retransmitted within 0.4 s.
DRAIN_NOTICE_S = 0.5
DRAIN_POLL_S = 0.01
TOKEN_PREFIX_BYTES = 8
# Nodes of which the names of headers that they read are remembered.
MAX_SHORT_READERS = 4096


class Peers(registry.Service):
    """Client of other nodes, with a connection pool per address.

    ``byte_counts`` counts the bytes to and from them.

    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._app = app
        self._clock = clock
        self._pools: dict[tuple[str, int], client.Pool] = {}
        self._node_id = app.cfg.text('node', 'id')
        self._token_prefix = secrets.token_hex(TOKEN_PREFIX_BYTES)
        self._token_numbers = itertools.count()
        self._cancellations: set[asyncio.Task[None]] = set()
        # Start of the nodes that read short names of headers, by node.
        self._short_readers: dict[str, int] = {}
        self._byte_counts = distances.ByteCounts(
            app.service('metrics'),
            lambda: app.service('membership').local_record(),
        )

    async def start(self) -> None:
        """Register the gauges of connections and of bytes."""
        metrics_service = self._app.service('metrics')
        metrics_service.register_gauge(
            'peer_connections_opened',
            lambda: sum(pool.opened_count for pool in self._pools.values()),
        )
        metrics_service.register_gauge(
            'bytes_received', lambda: byte_counter.RECEIVED.total
        )
        pacer = pacing.running_pacer()
        metrics_service.register_gauge(
            'response_bytes_waiting', lambda: pacer.pending_bytes
        )
        pacer.observe_wait = functools.partial(
            metrics_service.observe, 'response_link_wait'
        )

    async def stop(self) -> None:
        """Close the idle connections and end the cancellations."""
        for task in self._cancellations:
            task.cancel()
        for pool in self._pools.values():
            pool.close_idle()

    async def call(
        self,
        record: model.NodeRecord,
        request: messages.Request,
        observer: peer_call.Observer | None = None,
    ) -> messages.Reply:
        """Run a request on the worker of a node, which may be this one.

        :param observer: learns when the node is not heard while the attempt
            goes on
        """
        if record.node_id == self._node_id:
            return await self._app.service('worker').call(request)
        is_short = (
            self._short_readers.get(record.node_id) == record.incarnation
        )
        reply = await self._call(record, request, observer, is_short)
        if is_short and _is_misread(reply):
            # A node of an earlier build has started at the address.
            self._short_readers.pop(record.node_id, None)
            reply = await self._call(record, request, observer, False)
        return reply

    async def _call(
        self,
        record: model.NodeRecord,
        request: messages.Request,
        observer: peer_call.Observer | None,
        is_short: bool,
    ) -> messages.Reply:
        now = self._clock()
        token = f'{self._token_prefix}-{next(self._token_numbers)}'
        exchange = _make_exchange(request, record.host, token, now, is_short)
        call = peer_call.PeerCall(
            self.pool(record),
            exchange._replace(
                decode=functools.partial(self._decode_reply, record)
            ),
            f'{request.request_id} on {record.node_id}',
            asyncio.get_running_loop().time() + request.deadline - now,
            is_head=request.method == 'HEAD',
            observer=observer,
        )
        self._byte_counts.add(record, 'requests', call.request_bytes)
        reply = None
        try:
            reply = await call.run()
            return reply
        except asyncio.CancelledError:
            if call.is_silent():
                self._start_cancellation(call)
            raise
        finally:
            self._count_reply(record, call, reply)

    def _decode_reply(
        self, record: model.NodeRecord, response: http_messages.Response
    ) -> messages.Reply:
        if response.header(short_headers.READS_SHORT.lower()):
            if len(self._short_readers) >= MAX_SHORT_READERS:
                self._short_readers.clear()
            self._short_readers[record.node_id] = record.incarnation
        return _decode_reply(response)

    def _count_reply(
        self,
        record: model.NodeRecord,
        call: peer_call.PeerCall,
        reply: messages.Reply | None,
    ) -> None:
        purpose = 'other'
        if reply is not None:
            is_answer = isinstance(reply.result, messages.Answer)
            purpose = 'answers' if is_answer else 'refusals'
        self._byte_counts.add(record, purpose, call.received_bytes)
        self._byte_counts.add(record, 'other', call.question_bytes)

    def _start_cancellation(self, call: peer_call.PeerCall) -> None:
        task = asyncio.ensure_future(call.cancel_attempt())
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)

    def pool(self, record: model.NodeRecord) -> client.Pool:
        """Return the connection pool of a node."""
        address = (record.host, record.rpc_port)
        pool = self._pools.get(address)
        if pool is None:
            self._close_unused_pools()
            pool = self._pools[address] = client.Pool(
                *address, MAX_IDLE_CONNECTIONS
            )
        return pool

    def _close_unused_pools(self) -> None:
        limit = self._clock() - UNUSED_POOL_CLOSE_S
        for address, pool in list(self._pools.items()):
            if not pool.in_use and pool.last_used < limit:
                pool.close_idle()
                del self._pools[address]


class PeerServer(registry.Service):
    """Server for requests and gossip of other nodes.

    This is the service ``peer-server``.

    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._app = app
        self._clock = clock
        self._attempts = attempts.Attempts(self._call_worker, clock)
        self.server = server.Server(
            self._handle,
            progress=PROGRESS,
            observe_arrival=self._observe_arrival,
        )
        self._is_refusing = False

    async def start(self) -> None:
        """Listen for other nodes."""
        cfg = self._app.cfg
        await self.server.listen(
            cfg.text('node', 'host'), cfg.integer('node', 'rpc_port')
        )
        self._app.service('membership').set_ports(rpc_port=self.server.port)

    async def drain(self, until: float) -> None:
        """Wait until the requests of other nodes have been answered.

        The first call also waits until other nodes have learned that this
        one is draining. From then on, requests are refused: one that started
        after the wait would be interrupted when the server stops.

        :param until: latest end, as a time of the clock in seconds
        """
        if not self.server.draining:
            self.server.start_draining()
            await asyncio.sleep(
                max(0.0, min(DRAIN_NOTICE_S, until - self._clock()))
            )
            self._is_refusing = True
        while self.server.is_busy() and self._clock() < until:
            await asyncio.sleep(DRAIN_POLL_S)

    async def stop(self) -> None:
        """Close the server after a short wait for running requests."""
        await self.server.stop(STOP_TIMEOUT_S)

    async def _handle(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        is_short = short_headers.is_short(request.headers)
        if is_short:
            fields = short_headers.expand_short(request.headers)
            request = request._replace(headers=fields)
        response = await self._handle_expanded(request)
        if is_short:
            fields = short_headers.shorten(response.headers)
            return response._replace(headers=fields or response.headers)
        if not _is_of_caller(request):
            return response
        mark = (short_headers.READS_SHORT, '1')
        return response._replace(headers=(*response.headers, mark))

    async def _handle_expanded(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        if _is_of_caller(request):
            return await self._handle_caller_request(request)
        if request.path == EXCHANGE_PATH:
            body = self._app.service('exchange').received(request.body)
            return http_messages.Response(200, (), body)
        if request.path == ALLOWANCE_PATH:
            return self._app.service('allowances').received(request.body)
        if request.path == ATTEMPT_PATH:
            return await self._handle_attempt_message(request)
        return _encode_reply(
            messages.Reply(
                errors.Refusal(
                    errors.CALL_BAD_HEADER, 'not a message of a node'
                )
            )
        )

    async def _handle_attempt_message(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        token = request.header(ATTEMPT.lower())
        if not token:
            return http_messages.Response(400)
        if request.method == CANCEL_METHOD:
            self._attempts.cancel(token)
            return http_messages.Response(200, ((ATTEMPT, token),))
        return await self._find_attempt(request, token)

    async def _handle_caller_request(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        if self._is_refusing:
            # The sender has not learned yet that this node is draining.
            return _encode_reply(messages.Reply(_stopping_refusal()))
        parsed = _decode_request(request, self._clock())
        if isinstance(parsed, errors.Refusal):
            return _encode_reply(messages.Reply(parsed))
        token = request.header(ATTEMPT.lower())
        if not token:
            return _encode_reply(await self._call_worker(parsed))
        return _encode_reply(await self._attempts.run(token, parsed))

    async def _find_attempt(
        self, request: http_messages.Request, token: str
    ) -> http_messages.Response:
        age = request.header(AGE.lower())
        if not (age.isascii() and age.isdigit()):
            return http_messages.Response(400)
        if self._attempts.is_arriving(token):
            # Without the token, the question is asked again.
            return http_messages.Response(503)
        reply = await self._attempts.find(token, int(age) / 1000)
        if reply is None:
            return http_messages.Response(NO_RECORD, ((ATTEMPT, token),))
        response = _encode_reply(reply)
        marks = ((ATTEMPT, token), (FOUND, '1'))
        return response._replace(headers=(*response.headers, *marks))

    def _observe_arrival(
        self, fields: http_messages.Headers
    ) -> Callable[[], None]:
        own_headers = {
            name.lower(): value for name, value in short_headers.expand(fields)
        }
        token = own_headers.get(ATTEMPT.lower())
        # A question has the token too, and an age.
        if token is None or AGE.lower() in own_headers:
            return _do_nothing
        return self._attempts.begin_arrival(token)

    async def _call_worker(self, request: messages.Request) -> messages.Reply:
        return await self._app.service('worker').call(request)


def _do_nothing() -> None:
    pass


def _is_of_caller(request: http_messages.Request) -> bool:
    """Return whether a message with long names carries a caller's request.

    A caller can not set the header itself: its node removes all headers of
    this system that a caller has sent.
    """
    service = SERVICE.lower()
    return any(name.lower() == service for name, _ in request.headers)


def _make_exchange(
    request: messages.Request,
    host: str,
    token: str,
    now: float,
    is_short: bool = False,
) -> peer_call.Exchange:
    attempt = (ATTEMPT, token)
    fields = (*_encode_headers(request, now), attempt)
    if is_short:
        fields = short_headers.shorten(fields) or fields

    def encode_question(age_s: float) -> bytes:
        age_ms = str(int(age_s * 1000))
        fields = (('Host', host), attempt, (AGE, age_ms))
        return http_messages.encode_request('GET', ATTEMPT_PATH, fields, b'')

    def decode_found(
        response: http_messages.Response,
    ) -> peer_call.Found | None:
        if response.header(ATTEMPT.lower()) == token:
            is_found = bool(response.header(FOUND.lower()))
            if response.status == NO_RECORD and not is_found:
                return peer_call.Found(None)
            return peer_call.Found(_decode_reply(response))
        if response.header(headers.RESULT.lower()):
            # A node of an older build takes the question for a request and
            # refuses it as not run, although the attempt may have run.
            return peer_call.Found(None)
        return None

    return peer_call.Exchange(
        http_messages.encode_request(
            request.method,
            request.target,
            fields,
            request.body,
        ),
        encode_question,
        http_messages.encode_request(
            CANCEL_METHOD, ATTEMPT_PATH, (('Host', host), attempt), b''
        ),
        _decode_reply,
        decode_found,
    )


def _is_misread(reply: messages.Reply) -> bool:
    """Return whether a node did not read the headers of a request."""
    result = reply.result
    return (
        isinstance(result, errors.Refusal)
        and result.code is errors.CALL_BAD_HEADER
        and result.run is errors.RunState.NOT_RUN
    )


def _stopping_refusal() -> errors.Refusal:
    return errors.Refusal(errors.CALL_DRAINING, 'the node is stopping')


def _encode_headers(
    request: messages.Request, now: float
) -> http_messages.Headers:
    remaining_s = request.deadline - now
    if remaining_s > 4 * RESPONSE_MARGIN_S:
        remaining_s -= RESPONSE_MARGIN_S
    fields = request.headers + (
        (headers.REQUEST_ID, request.request_id),
        (SERVICE, request.service),
        (ROUTE, request.route),
        (headers.DEADLINE, str(max(0, int(remaining_s * 1000)))),
    )
    if request.version:
        fields += ((headers.VERSION, request.version),)
    if request.caller:
        fields += ((CALLER, request.caller),)
    if request.priority:
        fields += ((PRIORITY, str(request.priority)),)
    if request.team:
        # Names of teams are Unicode, and headers are encoded as Latin-1.
        fields += ((TEAM, request.team.encode().decode('latin-1')),)
    if request.repeatable:
        fields += ((REPEATABLE, '1'),)
    if request.is_repeat:
        fields += ((REPEAT, '1'),)
    objective_s = request.objective - now
    if objective_s < remaining_s:
        fields += ((OBJECTIVE, str(int(objective_s * 1000))),)
    if request.max_wait_s < remaining_s:
        patience_ms = max(0, int(request.max_wait_s * 1000))
        fields += ((MAX_WAIT, str(patience_ms)),)
    return fields


def _decode_request(
    request: http_messages.Request, now: float
) -> messages.Request | errors.Refusal:
    own_headers = {}
    other_headers = []
    for name, value in request.headers:
        lower = name.lower()
        if lower.startswith(headers.OWN_PREFIX):
            own_headers[lower] = value
        elif lower != 'content-length':
            other_headers.append((name, value))
    try:
        max_wait = own_headers.get(MAX_WAIT.lower())
        objective = own_headers.get(OBJECTIVE.lower())
        return messages.Request(
            request_id=own_headers[headers.REQUEST_ID.lower()],
            route=own_headers[ROUTE.lower()],
            service=own_headers[SERVICE.lower()],
            version=own_headers.get(headers.VERSION.lower(), ''),
            method=request.method,
            target=request.target,
            headers=tuple(other_headers),
            body=request.body,
            deadline=now + int(own_headers[headers.DEADLINE.lower()]) / 1000,
            depth=0,
            repeatable=REPEATABLE.lower() in own_headers,
            priority=int(own_headers.get(PRIORITY.lower(), 0)),
            caller=own_headers.get(CALLER.lower(), ''),
            max_wait_s=float('inf')
            if max_wait is None
            else int(max_wait) / 1000,
            is_repeat=REPEAT.lower() in own_headers,
            objective=float('inf')
            if objective is None
            else now + int(objective) / 1000,
            team=own_headers.get(TEAM.lower(), '').encode('latin-1').decode(),
        )
    except (KeyError, ValueError) as exc:
        return errors.Refusal(
            errors.CALL_BAD_HEADER, f'not a request of a node: {exc!r}'
        )


def _encode_reply(reply: messages.Reply) -> http_messages.Response:
    fields: http_messages.Headers = ()
    if reply.load is not None:
        load = reply.load
        fields = ((LOAD, f'{load.in_use},{load.queued},{load.slots}'),)
        link_busy_ms = int(load.link_busy_s * 1000)
        if link_busy_ms:
            fields += ((LINK_BUSY, str(link_busy_ms)),)
        wait_ms = int(load.wait_s * 1000)
        if wait_ms:
            fields += ((WAIT, str(wait_ms)),)
        if load.pace is not None:
            fields += ((PACE, _encode_pace(load)),)
    if reply.leaving_started_ms is not None:
        fields += ((LEAVING, str(reply.leaving_started_ms)),)
    result = reply.result
    if isinstance(result, errors.Refusal):
        run = errors.RUN_STATE_NAMES[result.run]
        fields += (
            (headers.RESULT, str(result.code.number)),
            (headers.RUN, run),
        )
        return http_messages.Response(503, fields, result.reason.encode())
    return http_messages.Response(
        result.status, headers.end_to_end(result.headers) + fields, result.body
    )


_RUN_STATES = {name: state for state, name in errors.RUN_STATE_NAMES.items()}


def _decode_reply(response: http_messages.Response) -> messages.Reply:
    own_headers = {}
    other_headers = []
    for name, value in short_headers.expand(response.headers):
        lower = name.lower()
        if lower.startswith(headers.OWN_PREFIX):
            own_headers[lower] = value
        elif lower not in ('content-length', 'connection'):
            other_headers.append((name, value))
    load = None
    load_text = own_headers.get(LOAD.lower())
    if load_text:
        in_use, queued, slots = load_text.split(',')
        link_busy_ms = int(own_headers.get(LINK_BUSY.lower(), 0))
        load = messages.Load(
            int(slots),
            int(in_use),
            int(queued),
            link_busy_ms / 1000,
            int(own_headers.get(WAIT.lower(), 0)) / 1000,
            *_decode_pace(own_headers.get(PACE.lower())),
        )
    leaving = own_headers.get(LEAVING.lower())
    leaving_started_ms = None if leaving is None else int(leaving)
    number = own_headers.get(headers.RESULT.lower())
    is_of_handler = load is not None or ATTEMPT.lower() in own_headers
    if number is None and not is_of_handler:
        # The worker's node states its load, or the token in the answer to a
        # question, as the load has changed since the attempt ended.
        return messages.Reply(_refusal_without_reply(response))
    if number is None:
        answer = messages.Answer(
            response.status, tuple(other_headers), response.body
        )
        return messages.Reply(answer, load, leaving_started_ms)
    try:
        code = errors.code_by_number(int(number))
    except (KeyError, ValueError):
        code = errors.CALL_UNKNOWN
    run = _RUN_STATES.get(
        own_headers.get(headers.RUN.lower(), ''), errors.RunState.UNKNOWN
    )
    reason = response.body.decode('utf-8', 'replace')
    return messages.Reply(
        errors.Refusal(code, reason, run), load, leaving_started_ms
    )


def _refusal_without_reply(
    response: http_messages.Response,
) -> errors.Refusal:
    """Return the refusal for a response that holds no reply of a node."""
    code = _CODE_BY_SERVER_STATUS.get(response.status)
    if code is not None:
        return errors.Refusal(code, response.body.decode('utf-8', 'replace'))
    return errors.Refusal(
        errors.CALL_UNKNOWN,
        f'status {response.status} without a reply of the node',
        errors.RunState.UNKNOWN,
    )


def _encode_pace(load: messages.Load) -> str:
    age_ms = int(load.pace_age_s * 1000)
    # Times are divided by the pace, which must not be 0.
    percent = max(1, round(load.pace * 100))
    mean_percent = max(1, round(load.mean_pace * 100))
    return f'{percent},{age_ms},{mean_percent}'


def _decode_pace(text: str | None) -> tuple[float | None, float, float]:
    """Return the pace of a worker, its age in seconds and the mean pace."""
    if text is None:
        return None, 0.0, 1.0
    percent, age_ms, mean_percent = text.split(',')
    return int(percent) / 100, int(age_ms) / 1000, int(mean_percent) / 100


def setup(app: application.Application) -> None:
    """Register the services ``peers`` and ``peer-server``."""
    app.add_service('peers', Peers(app), after=('metrics', 'worker'))
    app.add_service(
        'peer-server',
        PeerServer(app),
        after=('metrics', 'membership', 'worker', 'peers'),
    )

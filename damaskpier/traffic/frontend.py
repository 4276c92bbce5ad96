"""HTTP server for the requests of callers."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from typing import TYPE_CHECKING
import uuid

from tornado import httpserver
from tornado import httputil
from tornado import netutil

from damaskpier import errors
from damaskpier import registry
from damaskpier.traffic import headers
from damaskpier.traffic import messages
from damaskpier.traffic import router

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier.bundle import model

LOG = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 30.0
# A stopping node still admits requests for this time, so that the other nodes
# receive its record first.
DRAIN_NOTICE_S = 1.0
CLOSE_DELAY_S = 0.5
READ_CHUNK_BYTES = 64 * 1024

HTTP_STATUS = {
    errors.CALL_NO_ROUTE: 404,
    errors.CALL_NO_WORKER: 503,
    errors.CALL_OVERLOADED: 503,
    errors.CALL_DEADLINE: 504,
    errors.CALL_UNKNOWN: 502,
    errors.CALL_CONNECT: 503,
    errors.CALL_TOO_LARGE: 413,
    errors.CALL_TOO_DEEP: 508,
    errors.CALL_DRAINING: 503,
    errors.CALL_NO_CONFIG: 503,
    errors.CALL_BAD_HEADER: 400,
    errors.CALL_CANCELLED: 499,
    errors.CALL_UPSTREAM_REFUSED: 503,
}


class Frontend(registry.Service):
    """Serves the requests of callers; service ``frontend``.

    :param clock: returns the time in seconds
    :param sleep: waits for a number of seconds
    """

    def __init__(
        self,
        app: application.Application,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], object] = asyncio.sleep,
    ) -> None:
        self.port = 0
        self.router = router.Router(app, clock)
        self.running = 0
        self.leaving = False
        self.draining = False
        self.app = app
        self.clock = clock
        self.max_body = app.cfg.integer('limits', 'max_body')
        self.max_headers = app.cfg.integer('limits', 'max_headers')
        self._max_requests = app.cfg.integer('limits', 'max_requests')
        self._sleep = sleep
        self._idle = asyncio.Event()
        self._idle.set()
        self._server: httpserver.HTTPServer | None = None

    async def start(self) -> None:
        """Listen for connections of callers."""
        server = httpserver.HTTPServer(
            _ConnectionDelegate(self),
            # Requests up to these limits get an answer when they are refused;
            # for far larger ones Tornado only closes the connection.
            max_header_size=2 * self.max_headers,
            max_body_size=1 << 40,
            max_buffer_size=2 * self.max_headers + self.max_body,
            chunk_size=READ_CHUNK_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        sockets = netutil.bind_sockets(
            self.app.cfg.integer('node', 'http_port'),
            self.app.cfg.text('node', 'host'),
        )
        server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        self._server = server
        self.app.service('membership').set_ports(http_port=self.port)
        self.app.service('metrics').register_gauge(
            'requests_running', lambda: self.running
        )

    async def stop(self) -> None:
        """Stop without interrupting a request.

        The node announces that it is draining, waits until the running
        requests have ended, drains the upstream and then closes the
        connections.
        """
        self.leaving = True
        self.app.events.emit('node-draining')
        await self._sleep(DRAIN_NOTICE_S)
        self.draining = True
        limit_s = self.app.cfg.number('limits', 'drain_timeout')
        began = self.clock()
        try:
            await asyncio.wait_for(self._idle.wait(), limit_s)
        except TimeoutError:
            LOG.warning(
                'traffic: %d requests still run after %g s',
                self.running,
                limit_s,
            )
        left_s = max(0.0, limit_s - (self.clock() - began))
        if self.app.has_service('upstream'):
            await self.app.service('upstream').drain(left_s)
        if self._server is not None:
            self._server.stop()
            # A request may still arrive on a connection that was accepted
            # before. It is answered before the connections close.
            await self._sleep(CLOSE_DELAY_S)
            await self._server.close_all_connections()

    def begin_request(self) -> errors.Refusal | None:
        """Count a request as running, or refuse it.

        :returns: None, after which :meth:`end_request` has to be called, or
            the refusal
        """
        if self.draining:
            return errors.Refusal(
                errors.CALL_DRAINING, 'the node is shutting down'
            )
        if self.running >= self._max_requests:
            return errors.Refusal(
                errors.CALL_OVERLOADED,
                f'the node already carries {self.running} requests',
            )
        self.running += 1
        self._idle.clear()
        return None

    def end_request(self) -> None:
        """Count the end of a running request."""
        self.running -= 1
        if not self.running:
            self._idle.set()


class _ConnectionDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates an exchange for each request of a connection."""

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        return _Exchange(self._frontend, request_conn)


class _Exchange(httputil.HTTPMessageDelegate):
    """One request of a caller and its answer.

    :param frontend: server that the request arrived at
    :param conn: connection of the caller
    """

    def __init__(
        self, frontend: Frontend, conn: httputil.HTTPConnection
    ) -> None:
        self._frontend = frontend
        self._conn = conn
        self._began = frontend.clock()
        self._chunks: list[bytes] = []
        self._size = 0
        self._is_counted = False
        self._is_finished = False
        self._task: asyncio.Task[None] | None = None
        self._method = ''
        self._target = ''
        self._headers = httputil.HTTPHeaders()
        self._request_id = ''

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers_: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self._method = start_line.method
        self._target = start_line.path
        self._headers = headers_
        refusal = self._check_headers(headers_)
        if refusal is None:
            refusal = self._frontend.begin_request()
            self._is_counted = refusal is None
        if refusal is not None:
            self._refuse_early(refusal)

    def data_received(self, chunk: bytes) -> None:
        if self._is_finished:
            return
        self._size += len(chunk)
        if self._size > self._frontend.max_body:
            self._refuse_early(self._too_large('body'))
            return
        self._chunks.append(chunk)

    def finish(self) -> None:
        if self._is_finished:
            return
        self._task = asyncio.create_task(self._run())
        # Tornado calls this when the caller closes its connection.
        self._conn.set_close_callback(self._on_close)

    def on_connection_close(self) -> None:
        self._on_close()

    def _check_headers(
        self, fields: httputil.HTTPHeaders
    ) -> errors.Refusal | None:
        size = sum(len(k) + len(v) + 4 for k, v in fields.get_all())
        if size + len(self._target) > self._frontend.max_headers:
            return self._too_large('header block')
        length = fields.get('Content-Length')
        if length is not None and length.isdigit():
            if int(length) > self._frontend.max_body:
                return self._too_large('body')
        request_id = fields.get(headers.REQUEST_ID, '')
        if len(request_id) > headers.MAX_REQUEST_ID_LENGTH:
            return errors.Refusal(
                errors.CALL_BAD_HEADER,
                f'{headers.REQUEST_ID} is longer than '
                f'{headers.MAX_REQUEST_ID_LENGTH} characters',
            )
        self._request_id = request_id or uuid.uuid4().hex
        return None

    def _too_large(self, what: str) -> errors.Refusal:
        return errors.Refusal(
            errors.CALL_TOO_LARGE, f'the {what} exceeds the limit'
        )

    def _on_close(self) -> None:
        if self._is_finished:
            return
        if self._task is not None:
            self._task.cancel()
        elif self._is_counted:
            self._is_counted = False
            self._frontend.end_request()
        self._is_finished = True

    async def _run(self) -> None:
        frontend = self._frontend
        try:
            outcome = await self._route()
            self._answer(outcome)
        except asyncio.CancelledError:
            frontend.app.service('metrics').increment(
                'requests', code=str(errors.CALL_CANCELLED)
            )
            raise
        except Exception:
            LOG.exception(
                'traffic: internal error in request %s', self._request_id
            )
            self._answer(
                router.Outcome(
                    errors.Refusal(
                        errors.CALL_UNKNOWN,
                        'internal error of the node',
                        errors.RunState.UNKNOWN,
                    )
                )
            )
        finally:
            self._is_counted = False
            frontend.end_request()

    async def _route(self) -> router.Outcome:
        table = self._frontend.router.table()
        if table is None:
            return _refused_outcome(
                errors.CALL_NO_CONFIG, 'the node has no configuration'
            )
        path = self._target.partition('?')[0]
        route = table.match(self._method, path)
        if route is None:
            return _refused_outcome(
                errors.CALL_NO_ROUTE, f'no route for {self._method} {path}'
            )
        request = self._make_request(route)
        if isinstance(request, errors.Refusal):
            return router.Outcome(request)
        return await self._frontend.router.route(
            table.snapshot, route, request
        )

    def _make_request(
        self, route: model.RouteSpec
    ) -> messages.Request | errors.Refusal:
        fields = self._headers
        depth = headers.parse_number(fields, headers.DEPTH, 0, 999)
        if isinstance(depth, errors.Refusal):
            return depth
        if depth > headers.MAX_DEPTH:
            return errors.Refusal(
                errors.CALL_TOO_DEEP,
                f'depth {depth} is above {headers.MAX_DEPTH}',
            )
        timeout_ms = headers.parse_number(
            fields,
            headers.DEADLINE,
            route.timeout_ms,
            headers.MAX_DEADLINE_MS,
        )
        if isinstance(timeout_ms, errors.Refusal):
            return timeout_ms
        return messages.Request(
            request_id=self._request_id,
            route=route.name,
            service=route.service,
            version='',
            method=self._method,
            target=self._target,
            headers=headers.end_to_end(fields.get_all()),
            body=b''.join(self._chunks),
            deadline=self._began + timeout_ms / 1000,
            depth=depth,
            repeatable=route.repeatable,
        )

    def _refuse_early(self, refusal: errors.Refusal) -> None:
        """Answer before the whole request has been read."""
        is_counted, self._is_counted = self._is_counted, False
        self._answer(router.Outcome(refusal))
        if is_counted:
            self._frontend.end_request()

    def _answer(self, outcome: router.Outcome) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        result = outcome.result
        if isinstance(result, errors.Refusal):
            code = str(result.code)
            status, body = _encode_refusal(result)
            fields = httputil.HTTPHeaders(
                {
                    'Content-Type': 'application/json',
                    headers.RESULT: code,
                    headers.RUN: errors.RUN_STATE_NAMES[result.run],
                }
            )
        else:
            code = 'answered'
            status, body = result.status, result.body
            fields = httputil.HTTPHeaders({headers.RUN: 'run'})
            for name, value in result.headers:
                fields.add(name, value)
        if outcome.version:
            fields[headers.VERSION] = outcome.version
        if self._request_id:
            fields[headers.REQUEST_ID] = self._request_id
        if self._frontend.leaving:
            # The callers' next connections go to other nodes.
            fields['Connection'] = 'close'
        # A response without content must not carry a length.
        if status not in (204, 304) and not (
            self._method == 'HEAD' and 'Content-Length' in fields
        ):
            fields['Content-Length'] = str(len(body))
        metrics = self._frontend.app.service('metrics')
        metrics.increment('requests', code=code)
        total_s = self._frontend.clock() - self._began
        metrics.observe('request', total_s)
        if isinstance(result, messages.Answer):
            metrics.observe('added', max(0.0, total_s - result.upstream_s))
        self._write(status, fields, body)

    def _write(
        self, status: int, fields: httputil.HTTPHeaders, body: bytes
    ) -> None:
        reason = httputil.responses.get(status, 'Unknown')
        if self._method == 'HEAD' or status in (204, 304):
            body = b''
        fut = self._conn.write_headers(
            httputil.ResponseStartLine('HTTP/1.1', status, reason),
            fields,
            body or None,
        )
        # The write fails if the caller has closed its connection, which is
        # not reported.
        fut.add_done_callback(
            lambda done: done.cancelled() or done.exception()
        )
        self._conn.finish()


def _refused_outcome(code: errors.ResultCode, reason: str) -> router.Outcome:
    return router.Outcome(errors.Refusal(code, reason))


def _encode_refusal(refusal: errors.Refusal) -> tuple[int, bytes]:
    body = json.dumps(
        {
            'code': str(refusal.code),
            'reason': refusal.reason,
            'run': errors.RUN_STATE_NAMES[refusal.run],
        }
    )
    return HTTP_STATUS.get(refusal.code, 500), body.encode() + b'\n'


def setup(app: application.Application) -> None:
    """Register the service ``frontend``, which starts last."""
    app.add_service(
        'frontend',
        Frontend(app),
        after=(
            'metrics',
            'platform',
            'audit',
            'leases',
            'configuration',
            'membership',
            'rollouts',
            'evidence',
            'upstream',
            'peers',
            'rpc',
            'tree',
            'admin',
        ),
    )

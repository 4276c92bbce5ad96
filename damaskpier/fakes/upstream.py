"""Stand-in upstream with faults on command."""

from __future__ import annotations

import asyncio
import collections
import json
import logging
import random
import time
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec
from tornado import httpclient
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from damaskpier.traffic import headers

if TYPE_CHECKING:
    from collections.abc import Callable

LOG = logging.getLogger(__name__)

ANNOUNCE_INTERVAL_S = 1.0
# Time that an upstream needs to accept a connection and to answer a probe.
CONNECTION_DELAY_S = 0.001
PROBE_DELAY_S = 0.006
ADMIN_PREFIX = '/_fake'


class Options(NamedTuple):
    """Options of a fake upstream.

    ``worker`` names the instance in its responses; the default is its port.
    ``drain_s`` limits how long :meth:`FakeUpstream.stop` waits for running
    requests.
    """

    service: str
    version: str = 'v1'
    worker: str = ''
    host: str = '127.0.0.1'
    port: int = 0
    node_admin: str = ''  # HOST:PORT, empty for no announcements
    slots: int = 20
    connections: int = 110
    service_ms: float = 0.0  # time that a request takes
    cold_ms: float = 0.0  # additional time of the first cold_requests
    cold_requests: int = 0
    calls: tuple[str, ...] = ()  # paths called through the node
    announce_slots: bool = True
    drain_s: float = 30.0
    seed: int = 0


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """Fault of the requests of one path.

    :param path: path of the requests, ``*`` for all paths that have no
        fault of their own in effect
    :param failure_rate: part of the requests, from 0 to 1, that run and are
        answered with 500
    :param slow_ms: additional time of a slow request in milliseconds
    :param slow_rate: part of the requests, from 0 to 1, that are slow
    :param after_s: seconds after which the fault takes effect
    :param above: lowest number of running requests at which the fault is in
        effect
    :param freeze: hold requests until a fault without ``freeze`` is set; with
        the path ``*`` or ``/healthz``, also report the instance as unhealthy
    :param close_after_run: run requests, but close the connection instead of
        answering
    :param shed: refuse requests before they run
    :param calls: paths that each request calls through the node, in place
        of those of :class:`Options`
    """

    path: str = '*'
    failure_rate: float = 0.0
    slow_ms: float = 0.0
    slow_rate: float = 1.0
    after_s: float = 0.0
    above: int = 0
    freeze: bool = False
    close_after_run: bool = False
    shed: bool = False
    calls: tuple[str, ...] = ()


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Overrides of what the health and load endpoints report.

    :param lie_healthy: health to report, None for the actual one
    :param lie_load: number of running requests to report, None for the actual
        one
    :param lag_s: age of the actual load that is reported, in seconds
    """

    lie_healthy: bool | None = None
    lie_load: int | None = None
    lag_s: float = 0.0


class FakeUpstream:
    """HTTP server that simulates one instance of a service.

    ``runs``, ``finished`` and ``cancelled`` count requests by request ID.

    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        options: Options,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.options = options
        self.port = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.finished: collections.Counter[str] = collections.Counter()
        self.cancelled: collections.Counter[str] = collections.Counter()
        self.paths: collections.deque[str] = collections.deque(maxlen=100)
        self.running = 0
        self.most_running = 0
        self.connections = 0
        self.connections_opened = 0
        self.connections_refused = 0
        self.probes = 0
        self.shed = 0
        self.draining = False
        self.ready = True
        self.behaviour = Behaviour()
        self.clock = clock
        self.rng = random.Random(options.seed)
        self.sequence = 0
        self.node_http = ''
        self._faults: dict[str, tuple[Fault, float]] = {}
        self._load_history: collections.deque[tuple[float, int]] = (
            collections.deque([(clock(), 0)], maxlen=1000)
        )
        self._server: _Server | None = None
        self._announce_task: asyncio.Task[None] | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self._unfrozen = asyncio.Event()
        self.client: httpclient.AsyncHTTPClient | None = None

    async def start(self) -> None:
        """Listen for requests and start the announcements to the node."""
        args = {'fake': self}
        application = web.Application(
            [
                (f'{ADMIN_PREFIX}/state', _StateHandler, args),
                (f'{ADMIN_PREFIX}/fault', _FaultHandler, args),
                (f'{ADMIN_PREFIX}/behaviour', _BehaviourHandler, args),
                ('/healthz', _HealthHandler, args),
                ('/load', _LoadHandler, args),
                ('/.*', _ServiceHandler, args),
            ]
        )
        self._server = _Server(application, self)
        sockets = netutil.bind_sockets(self.options.port, self.options.host)
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=200
        )
        if self.options.node_admin:
            self._announce_task = asyncio.create_task(
                self._announce_periodically()
            )

    async def stop(self) -> None:
        """Announce that the instance is draining, finish requests and close.

        Requests that still run after ``drain_s`` seconds are interrupted.
        """
        self.draining = True
        if self._announce_task is not None:
            self._announce_task.cancel()
            await asyncio.gather(self._announce_task, return_exceptions=True)
            await self.announce()
        try:
            await asyncio.wait_for(self._idle.wait(), self.options.drain_s)
        except TimeoutError:
            LOG.warning(
                'upstream: %d requests still run after %g s',
                self.running,
                self.options.drain_s,
            )
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        if self.client is not None:
            self.client.close()

    async def announce(self) -> bool:
        """Announce this instance to the node once.

        :returns: whether the node accepted the announcement
        """
        options = self.options
        body = {
            'service': options.service,
            'version': options.version,
            'address': options.host,
            'port': self.port,
            'slots': options.slots if options.announce_slots else 0,
            'connections': options.connections,
            'ready': self.ready,
            'draining': self.draining,
        }
        assert self.client is not None
        try:
            response = await self.client.fetch(
                f'http://{options.node_admin}/announce',
                method='POST',
                body=json.dumps(body),
                request_timeout=2,
            )
        except (OSError, httpclient.HTTPError) as exc:
            LOG.warning(
                'upstream: announcement to the node at %s failed: %s',
                options.node_admin,
                exc,
            )
            return False
        self.node_http = json.loads(response.body)['http']
        return True

    def set_fault(self, fault: Fault) -> None:
        """Set the fault of a path; a fault with default values removes it.

        Frozen requests of all paths continue, unless the new fault freezes.
        """
        if fault == Fault(path=fault.path):
            self._faults.pop(fault.path, None)
        else:
            self._faults[fault.path] = (fault, self.clock())
        if not fault.freeze:
            self._unfrozen.set()
            self._unfrozen = asyncio.Event()

    def fault_for(self, path: str) -> Fault:
        """Return the fault that is in effect for a path.

        It is one without effect if no fault applies.
        """
        for key in (path, '*'):
            entry = self._faults.get(key)
            if entry is None:
                continue
            fault, since = entry
            is_pending = self.clock() - since < fault.after_s
            if not is_pending and self.running >= fault.above:
                return fault
        return Fault(path=path)

    def record_start(self) -> None:
        """Count a request that starts to run."""
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self._load_history.append((self.clock(), self.running))
        self._idle.clear()

    def record_end(self) -> None:
        """Count a request that has ended, whatever its outcome."""
        self.running -= 1
        self._load_history.append((self.clock(), self.running))
        if not self.running:
            self._idle.set()

    def reported_load(self) -> int:
        """Return the number of running requests for the load endpoint."""
        if self.behaviour.lie_load is not None:
            return self.behaviour.lie_load
        past = self.clock() - self.behaviour.lag_s
        reported = 0
        for when, running in self._load_history:
            if when <= past:
                reported = running
        return reported

    async def wait_until_unfrozen(self) -> None:
        """Wait until a fault without ``freeze`` is set."""
        await self._unfrozen.wait()

    def state(self) -> dict[str, Any]:
        """Return the counts that tests and tools read as JSON."""
        return {
            'service': self.options.service,
            'version': self.options.version,
            'running': self.running,
            'most_running': self.most_running,
            'connections': self.connections,
            'connections_opened': self.connections_opened,
            'connections_refused': self.connections_refused,
            'probes': self.probes,
            'shed': self.shed,
            'sequence': self.sequence,
            'runs': dict(self.runs),
            'finished': dict(self.finished),
            'cancelled': dict(self.cancelled),
        }

    async def _announce_periodically(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            await self.announce()
            # The time of an announcement counts as part of the interval.
            # Otherwise a single one that times out leaves a gap of 3 s, in
            # which the node removes the worker from routing.
            remaining_s = began + ANNOUNCE_INTERVAL_S - loop.time()
            await asyncio.sleep(max(0.0, remaining_s))


class _Server(httpserver.HTTPServer):
    """HTTP server with a limit of connections and a delay for each."""

    def initialize(  # type: ignore[override]
        self, application: web.Application, fake: FakeUpstream
    ) -> None:
        super().initialize(application)
        self._fake = fake

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> None:
        fake = self._fake
        if fake.connections >= fake.options.connections:
            fake.connections_refused += 1
            stream.close()
            return
        fake.connections += 1
        fake.connections_opened += 1
        asyncio.get_running_loop().call_later(
            CONNECTION_DELAY_S, super().handle_stream, stream, address
        )

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self._fake.connections -= 1


class _Handler(web.RequestHandler):
    """Handler that answers with JSON."""

    def initialize(self, fake: FakeUpstream) -> None:
        self.fake = fake

    def send_json(self, content: Any) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(content))


class _StateHandler(_Handler):
    def get(self) -> None:
        """Send the counts."""
        self.send_json(self.fake.state())


class _FaultHandler(_Handler):
    def post(self) -> None:
        """Set the fault of a path."""
        try:
            fault = msgspec.json.decode(self.request.body, type=Fault)
        except msgspec.DecodeError as exc:
            self.set_status(400)
            self.send_json({'error': str(exc)})
            return
        self.fake.set_fault(fault)
        self.send_json({})


class _BehaviourHandler(_Handler):
    def post(self) -> None:
        """Set the overrides of the health and load endpoints."""
        try:
            behaviour = msgspec.json.decode(self.request.body, type=Behaviour)
        except msgspec.DecodeError as exc:
            self.set_status(400)
            self.send_json({'error': str(exc)})
            return
        self.fake.behaviour = behaviour
        self.send_json({})


class _HealthHandler(_Handler):
    async def get(self) -> None:
        """Answer a health probe after the usual delay."""
        self.fake.probes += 1
        await asyncio.sleep(PROBE_DELAY_S)
        healthy = self.fake.behaviour.lie_healthy
        if healthy is None:
            healthy = not self.fake.fault_for('/healthz').freeze
        self.set_status(200 if healthy else 503)
        self.send_json({'healthy': healthy})


class _LoadHandler(_Handler):
    def get(self) -> None:
        """Send the number of slots and of running requests."""
        self.send_json(
            {
                'slots': self.fake.options.slots,
                'in_use': self.fake.reported_load(),
            }
        )


class _ServiceHandler(_Handler):
    """Runs requests of all paths that no other handler serves."""

    _task: asyncio.Task[Any] | None = None

    async def prepare(self) -> None:
        """Run the request, independent of its method."""
        fake = self.fake
        fields = self.request.headers
        request_id = fields.get(headers.REQUEST_ID, '')
        fault = fake.fault_for(self.request.path)
        if fault.shed or fake.running >= fake.options.slots or fake.draining:
            fake.shed += 1
            self.set_status(503)
            self.set_header(headers.RUN, 'not-run')
            self.send_json({'error': 'shed before run'})
            return
        fake.record_start()
        self._task = asyncio.current_task()
        try:
            await self._run(fault, request_id)
        except asyncio.CancelledError:
            fake.cancelled[request_id] += 1
        finally:
            self._task = None
            fake.record_end()

    def on_connection_close(self) -> None:
        """Cancel the request when the node closes the connection."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, fault: Fault, request_id: str) -> None:
        fake = self.fake
        fake.runs[request_id] += 1
        fake.sequence += 1
        sequence = fake.sequence
        fake.paths.append(self.request.path)
        deadline = self.request.headers.get(headers.DEADLINE, '')
        wait_s = fake.options.service_ms / 1000
        if sequence <= fake.options.cold_requests:
            wait_s += fake.options.cold_ms / 1000
        if fault.slow_ms and fake.rng.random() < fault.slow_rate:
            wait_s += fault.slow_ms / 1000
        if deadline and wait_s * 1000 > int(deadline):
            # Like an upstream that observes the deadline of a request, stop
            # at the deadline.
            await asyncio.sleep(int(deadline) / 1000)
            self.set_status(504)
            self.send_json({'error': 'deadline'})
            return
        if wait_s:
            await asyncio.sleep(wait_s)
        if fault.freeze:
            await fake.wait_until_unfrozen()
        nested_paths = fault.calls or fake.options.calls
        responses = [
            await self._call_through_node(path) for path in nested_paths
        ]
        fake.finished[request_id] += 1
        if fault.close_after_run:
            self.request.connection.stream.close()
            return
        if fault.failure_rate and fake.rng.random() < fault.failure_rate:
            self.set_status(500)
        content = {
            'service': fake.options.service,
            'version': fake.options.version,
            'worker': fake.options.worker or f'{fake.port}',
            'path': self.request.path,
            'request_id': request_id,
            'sequence': sequence,
            'depth': self.request.headers.get(headers.DEPTH, ''),
            'body_bytes': len(self.request.body),
        }
        if responses:
            content['calls'] = responses
        self.send_json(content)

    async def _call_through_node(self, path: str) -> dict[str, Any]:
        """Call another service through the node with an increased depth."""
        fields = {
            headers.REQUEST_ID: self.request.headers.get(
                headers.REQUEST_ID, ''
            ),
            headers.DEPTH: str(
                int(self.request.headers.get(headers.DEPTH, '0')) + 1
            ),
        }
        deadline = self.request.headers.get(headers.DEADLINE)
        if deadline is not None:
            fields[headers.DEADLINE] = deadline
        assert self.fake.client is not None
        response = await self.fake.client.fetch(
            f'http://{self.fake.node_http}{path}',
            headers=fields,
            raise_error=False,
            request_timeout=10,
        )
        return {
            'path': path,
            'status': response.code,
            'result': response.headers.get(headers.RESULT, ''),
        }

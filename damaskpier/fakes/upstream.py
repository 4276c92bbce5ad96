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
CONNECTION_COST_S = 0.001
PROBE_COST_S = 0.006
ADMIN_PREFIX = '/_fake'


class Options(NamedTuple):
    """Fixed properties of a stand-in upstream."""

    service: str
    version: str = 'v1'
    worker: str = ''
    host: str = '127.0.0.1'
    port: int = 0
    node_admin: str = ''  # HOST:PORT; empty: no announcements
    slots: int = 20
    connections: int = 110
    service_ms: float = 0.0  # time that a request takes
    cold_ms: float = 0.0  # extra time of the first requests
    cold_requests: int = 0
    calls: tuple[str, ...] = ()  # paths called through the node
    announce_slots: bool = True
    drain_s: float = 30.0
    seed: int = 0


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """Fault of one route, or of all routes with the path ``*``.

    A fault takes effect ``after_s`` seconds after it was set, and only while
    at least ``above`` requests run.
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
    """What the health and load endpoints say, where they do not tell."""

    lie_healthy: bool | None = None
    lie_load: int | None = None
    lag_s: float = 0.0


class FakeUpstream:
    """HTTP server that plays one instance of a service.

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
        self._loads: collections.deque[tuple[float, int]] = collections.deque(
            [(clock(), 0)], maxlen=1000
        )
        self._server: _Server | None = None
        self._announcer: asyncio.Task[None] | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self._unfrozen = asyncio.Event()
        self.client: httpclient.AsyncHTTPClient | None = None

    async def start(self) -> None:
        """Listen and begin to announce."""
        args = {'fake': self}
        application = web.Application(
            [
                (f'{ADMIN_PREFIX}/state', _StateHandler, args),
                (f'{ADMIN_PREFIX}/fault', _FaultHandler, args),
                (f'{ADMIN_PREFIX}/behaviour', _BehaviourHandler, args),
                ('/healthz', _HealthHandler, args),
                ('/load', _LoadHandler, args),
                ('/.*', _WorkHandler, args),
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
            self._announcer = asyncio.create_task(self._announce_forever())

    async def stop(self) -> None:
        """Announce that the instance leaves, finish requests and close."""
        self.draining = True
        if self._announcer is not None:
            self._announcer.cancel()
            await asyncio.gather(self._announcer, return_exceptions=True)
            await self.announce()
        try:
            await asyncio.wait_for(self._idle.wait(), self.options.drain_s)
        except TimeoutError:
            LOG.warning('upstream: %d requests still run', self.running)
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        if self.client is not None:
            self.client.close()

    async def announce(self) -> bool:
        """Tell the node about this instance once."""
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
            LOG.warning('upstream: announcement failed: %s', exc)
            return False
        self.node_http = json.loads(response.body)['http']
        return True

    def set_fault(self, fault: Fault) -> None:
        """Set the fault of a path; an empty fault ends it."""
        if fault == Fault(path=fault.path):
            self._faults.pop(fault.path, None)
        else:
            self._faults[fault.path] = (fault, self.clock())
        if not fault.freeze:
            self._unfrozen.set()
            self._unfrozen = asyncio.Event()

    def fault_of(self, path: str) -> Fault:
        """Return the fault that is in effect for a path."""
        for key in (path, '*'):
            entry = self._faults.get(key)
            if entry is None:
                continue
            fault, since = entry
            late = self.clock() - since < fault.after_s
            if not late and self.running >= fault.above:
                return fault
        return Fault(path=path)

    def enter(self) -> None:
        """Count a request that begins to run."""
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self._loads.append((self.clock(), self.running))
        self._idle.clear()

    def leave(self) -> None:
        """Count a request out."""
        self.running -= 1
        self._loads.append((self.clock(), self.running))
        if not self.running:
            self._idle.set()

    def told_load(self) -> int:
        """Return the load that the load endpoint tells."""
        if self.behaviour.lie_load is not None:
            return self.behaviour.lie_load
        past = self.clock() - self.behaviour.lag_s
        told = 0
        for when, running in self._loads:
            if when <= past:
                told = running
        return told

    async def frozen(self) -> None:
        """Wait until the fault that froze this instance ends."""
        await self._unfrozen.wait()

    def state(self) -> dict[str, Any]:
        """Return the counts that tests and demonstrations look at."""
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

    async def _announce_forever(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)


class _Server(httpserver.HTTPServer):
    """Server with a connection limit and a cost per connection."""

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
            CONNECTION_COST_S, super().handle_stream, stream, address
        )

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self._fake.connections -= 1


class _Handler(web.RequestHandler):
    def initialize(self, fake: FakeUpstream) -> None:
        self.fake = fake

    def send_json(self, content: Any) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(content))


class _StateHandler(_Handler):
    def get(self) -> None:
        """Show the counts."""
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
        """Set what the health and load endpoints say."""
        try:
            told = msgspec.json.decode(self.request.body, type=Behaviour)
        except msgspec.DecodeError as exc:
            self.set_status(400)
            self.send_json({'error': str(exc)})
            return
        self.fake.behaviour = told
        self.send_json({})


class _HealthHandler(_Handler):
    async def get(self) -> None:
        """Answer a probe, which costs time."""
        self.fake.probes += 1
        await asyncio.sleep(PROBE_COST_S)
        healthy = self.fake.behaviour.lie_healthy
        if healthy is None:
            healthy = not self.fake.fault_of('/healthz').freeze
        self.set_status(200 if healthy else 503)
        self.send_json({'healthy': healthy})


class _LoadHandler(_Handler):
    def get(self) -> None:
        """Tell the load."""
        self.send_json(
            {
                'slots': self.fake.options.slots,
                'in_use': self.fake.told_load(),
            }
        )


class _WorkHandler(_Handler):
    """Runs requests of any path."""

    _task: asyncio.Task[Any] | None = None

    async def prepare(self) -> None:
        """Run the request, whatever its method."""
        fake = self.fake
        fields = self.request.headers
        request_id = fields.get(headers.REQUEST_ID, '')
        fault = fake.fault_of(self.request.path)
        if fault.shed or fake.running >= fake.options.slots or fake.draining:
            fake.shed += 1
            self.set_status(503)
            self.set_header(headers.RUN, 'not-run')
            self.send_json({'error': 'shed before run'})
            return
        fake.enter()
        self._task = asyncio.current_task()
        try:
            await self._work(fault, request_id)
        except asyncio.CancelledError:
            fake.cancelled[request_id] += 1
        finally:
            self._task = None
            fake.leave()

    def on_connection_close(self) -> None:
        """Stop the work when the node cancels it."""
        if self._task is not None:
            self._task.cancel()

    async def _work(self, fault: Fault, request_id: str) -> None:
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
            # An upstream that knows the deadline gives up at that time.
            await asyncio.sleep(int(deadline) / 1000)
            self.set_status(504)
            self.send_json({'error': 'deadline'})
            return
        if wait_s:
            await asyncio.sleep(wait_s)
        if fault.freeze:
            await fake.frozen()
        nested = fault.calls or fake.options.calls
        answers = [await self._call(path) for path in nested]
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
        if answers:
            content['calls'] = answers
        self.send_json(content)

    async def _call(self, path: str) -> dict[str, Any]:
        """Call another service through the node, one level deeper."""
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

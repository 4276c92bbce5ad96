"""Store that implements the platform's protocol, with injected faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import copy
from typing import NamedTuple
from urllib import parse

import msgspec
import pytest

from damaskpier import application
from damaskpier import config
from damaskpier.http1 import client as http_client
from damaskpier.http1 import messages
from damaskpier.http1 import server
from damaskpier import metrics
from damaskpier.platform import endpoints
from damaskpier.platform import node as platform_node
from damaskpier.platform import store

HOST = '127.0.0.1'
TEST_TIMEOUT_S = 20.0
# Worker of the node in a :class:`Fleet`, and its start.
INSTANCE = 'i-7'
BORN_MS = 1_000


class FakeStore:
    """Store of objects by kind and name, with revisions and watches.

    ``refusals`` are statuses of the next responses. While ``silent`` is set,
    calls get no answer. Lists are answered after ``list_delay_s``. Watches
    from before ``first_kept`` fail with 410. Responses state ``era`` unless it
    is 0.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict]] = []
        # Revisions of the events that report a removal.
        self.removals: set[int] = set()
        self.calls: list[tuple[str, str]] = []
        # Number of writes whose answer is lost after they took effect.
        self.lost = 0
        self.refusals: list[int] = []
        self.silent = False
        self.list_delay_s = 0.0
        self.first_kept = 0
        self.era = 0
        self.page = 500
        self.server = server.Server(self._handle)
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object, **fields) -> dict:
        """Write an object as an operator does."""
        self.revision += 1
        old = self.objects.setdefault(kind, {}).get(name)
        made = old['metadata']['createRevision'] if old else self.revision
        obj = {
            'metadata': {
                'name': name,
                'rev': self.revision,
                'createRevision': made,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': old['status'] if old else None,
            **fields,
        }
        self.objects[kind][name] = obj
        self.events.append((self.revision, kind, obj))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return obj

    def copy(self) -> Callable[[], None]:
        """Copy the state; returns a function that comes back from the copy.

        Watches that wait meanwhile go on.
        """
        state = copy.deepcopy(
            (self.revision, self.objects, self.events, self.removals)
        )

        def restore() -> None:
            (
                self.revision,
                self.objects,
                self.events,
                self.removals,
            ) = copy.deepcopy(state)
            self.era += 1

        return restore

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as an operator does."""
        self.revision += 1
        obj = self.objects[kind].pop(name)
        self.events.append((self.revision, kind, obj))
        self.removals.add(self.revision)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, request: messages.Request) -> messages.Response:
        self.calls.append((request.method, request.target))
        if self.silent:
            await asyncio.Event().wait()
        if self.refusals:
            return self._with_era(messages.Response(self.refusals.pop(0)))
        response = self._with_era(await self._answer(request))
        if self.lost and request.method != 'GET':
            self.lost -= 1
            await asyncio.Event().wait()
        return response

    def _with_era(self, response: messages.Response) -> messages.Response:
        if not self.era:
            return response
        era = (('Store-Era', str(self.era)),)
        return response._replace(headers=(*response.headers, *era))

    async def _answer(self, request: messages.Request) -> messages.Response:
        path, _, query = request.target.partition('?')
        _, _, kind, *rest = path.split('/')
        fields = dict(parse.parse_qsl(query))
        if request.method == 'GET' and 'watch' in fields:
            wait_s = int(fields['waitMs']) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    return await self._watch(kind, int(fields['watch']))
            except TimeoutError:
                answer = {'events': [], 'currentRev': self.revision}
                return _json(200, answer)
        if request.method == 'GET':
            await asyncio.sleep(self.list_delay_s)
            return self._list(kind, fields.get('after', ''))
        content = msgspec.json.decode(request.body)
        known = self.objects.get(kind, {})
        if request.method == 'POST':
            name = content['metadata']['name']
            if name in known:
                return _json(409, known[name])
            return _json(200, self.put(kind, name, content['spec']))
        name = parse.unquote(rest[0])
        if name not in known:
            return messages.Response(404)
        expected = content.get('metadata', {}).get('rev')
        if expected not in (None, known[name]['metadata']['rev']):
            return _json(409, known[name])
        if rest[1:] == ['status']:
            spec = known[name]['spec']
            status = content['status']
            return _json(200, self.put(kind, name, spec, status=status))
        return _json(200, self.put(kind, name, content['spec']))

    def _list(self, kind: str, after: str) -> messages.Response:
        known = self.objects.get(kind, {})
        names = sorted(name for name in known if name > after)
        return _json(
            200,
            {
                'items': [known[name] for name in names[: self.page]],
                'hasMore': len(names) > self.page,
                'currentRev': self.revision,
            },
        )

    async def _watch(self, kind: str, revision: int) -> messages.Response:
        if not self.first_kept <= revision <= self.revision:
            return messages.Response(410)
        while True:
            found = [
                {'object': obj, 'deleted': at in self.removals}
                for at, of, obj in self.events
                if at > revision and of == kind
            ]
            if found:
                answer = {'events': found, 'currentRev': self.revision}
                return _json(200, answer)
            await self._changed.wait()


def _json(status: int, content: object) -> messages.Response:
    return messages.Response(status, (), msgspec.json.encode(content))


class Fleet(NamedTuple):
    """Fleet of a single node, whose processes are all killed together."""

    apps: list[application.Application]
    store: FakeStore

    @property
    def app(self) -> application.Application:
        """Return the running node."""
        return self.apps[-1]

    async def start(self, upstream_port: int = 1) -> None:
        """Start the node."""
        app = platform_node.make_node(
            config.loads(
                '[node]\nid = n\nregion = r\nfailure_domain = d\n'
                f'service = s1\nhost = {HOST}\nhttp_port = 0\nrpc_port = 0\n'
                'admin_port = 0\nhealth_port = 0\nmetrics_port = 0\n'
                f'[platform]\naddress = {HOST}:{self.store.server.port}\n'
                f'[upstream]\naddress = {HOST}:{upstream_port}\n'
                '[fleet]\ngrace = 0.5\nheartbeat = 60\n'
            )
        )
        self.apps.append(app)
        await app.start()

    async def wait_registered(self) -> None:
        """Wait until the node has read its entry in the directory."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not self.app.service('exchange').is_registered:
                await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """End the node, which keeps nothing."""
        self.app.service('ingress')._grace_s = 0.0
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.app.stop(), 2.0)

    async def restart(self) -> None:
        """End the node and start it again beside the same worker."""
        await self.stop()
        await self.start()
        await self.wait_registered()

    async def report(
        self,
        state: str,
        sequence: int = 1,
        born_ms: int = BORN_MS,
        address_port: int = 1,
    ) -> int:
        """Send a report of the worker; returns the status of the response.

        :param state: ``ready``, ``draining`` or ``left``
        """
        call = endpoints.HEARTBEAT_CALL
        content = {
            'address': f'{HOST}:{address_port}',
            'born': born_ms,
            'info': {'service': 's1', 'version': 'v1', 'slots': 4},
            'status': {'state': state, 'sequence': sequence},
        }
        if state == 'left':
            call = endpoints.LEAVE_CALL
            content = {'born': born_ms}
        return await self.call_control(call, msgspec.json.encode(content))

    async def call_control(self, call: str, body: bytes) -> int:
        """Call the control port; returns the status of the response."""
        port = self.app.service('endpoints')._heartbeat_server.port
        response = await http_client.Pool(HOST, port).request(
            messages.encode_request(
                'POST',
                f'/rpc?call={call}&of={INSTANCE}',
                (('Host', HOST),),
                body,
            ),
            http_client.Options(
                asyncio.get_running_loop().time() + TEST_TIMEOUT_S
            ),
        )
        return response.status

    def uses_worker(self) -> bool:
        """Return whether the node sends requests to the worker."""
        return bool(self.app.service('membership').workers('s1'))


@pytest.fixture
async def fake() -> AsyncIterator[FakeStore]:
    """Yield a running store."""
    made = FakeStore()
    await made.server.listen(HOST, 0)
    yield made
    await made.server.stop(0.0)


def make_app(port: int, settings: str = '') -> application.Application:
    """Return an application with a client of the store at a port.

    :param settings: further lines of the section ``fleet``
    """
    cfg = config.loads(
        '[node]\nid = n\nregion = r\nfailure_domain = d\n'
        f'[platform]\naddress = {HOST}:{port}\n'
        f'[fleet]\napply = 0.1\n{settings}'
    )
    return application.make_application(cfg, (metrics.setup, store.setup))


@pytest.fixture
def app(fake: FakeStore) -> application.Application:
    """Return an application with a client of the store."""
    return make_app(fake.server.port)


@pytest.fixture
def client(app: application.Application) -> store.PlatformStore:
    """Return the application's client of the store."""
    return app.service('store')


@pytest.fixture(name='metrics')
def app_metrics(app: application.Application) -> metrics.Metrics:
    """Return the application's metrics."""
    return app.service('metrics')


@pytest.fixture
def operator_config() -> Callable[..., dict]:
    """Return a function that makes a configuration as operators do."""

    def make(version: str = '0000000c') -> dict:
        return {
            'version': version,
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 1000,
                'headerTimeout': '3000ms',
                'idleTimeout': '15s',
            },
            'listeners': [
                {
                    'host': 'H.example',
                    'routeRules': [
                        {
                            'name': 'r-1',
                            'routeKind': 'non_idempotent',
                            'latencySlo': '600ms',
                            'priority': 1,
                            'match': {'pathPrefix': '/a/'},
                            'action': {
                                'service': 's1',
                                'timeout': '2000ms',
                                'maxAttempts': 2,
                            },
                        },
                        {
                            'name': 'r-2',
                            'routeKind': 'download',
                            'latencySlo': '1s',
                            'priority': 2,
                            'match': {'pathPrefix': '/b/'},
                            'action': {
                                'split': [
                                    {'service': 's1', 'weight': 90},
                                    {'service': 's2', 'weight': 10},
                                ],
                                'timeout': '1500ms',
                                'maxAttempts': 3,
                            },
                        },
                    ],
                }
            ],
            'clusters': [
                {'name': 's1', 'healthPath': '/healthz', 'maxConns': 110},
                {'name': 's2', 'healthPath': '/healthz', 'maxConns': 110},
            ],
        }

    return make


@pytest.fixture
async def fleet(fake, operator_config):
    """Yield a fleet with a registered node and a configuration."""
    fake.put('config', 'main', operator_config())
    made = Fleet([], fake)
    await made.start()
    await made.wait_registered()
    yield made
    await made.stop()

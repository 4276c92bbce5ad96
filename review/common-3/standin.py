"""Stand-ins for the platform's store, the workers and the requesters.

They follow the users' pages (PROTOCOL, DEPLOY) and use only Python's standard
library. The nodes are the project's own programs, started as the deploy file
says, each on a loopback address of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import tomllib
from typing import Any
from typing import NamedTuple
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOLDS = 0
BROKEN = 1
NOT_RUN = 2
HOST = 'jepu9.example'
SETTINGS_VARIABLE = 'DAMASKPIER_BOOT'
# Receive buffer of a requester.
WINDOW_BYTES = 32 * 1024
# Rate in bytes per second of a requester that takes answers at once.
FAST = 1e9

Headers = dict[str, str]


class Request(NamedTuple):
    """Request as a stand-in has read it; names of headers in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes


class Response(NamedTuple):
    """Response of a stand-in or, to the requester, of a node."""

    status: int
    headers: Headers
    body: bytes


Handler = Callable[[Request], Awaitable[Response]]


class Record:
    """Writes the record of a case, one line an event."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._began = time.monotonic()

    def add(self, text: str) -> None:
        """Write an event with the seconds since the start."""
        passed = time.monotonic() - self._began
        self._file.write(f'{passed:8.3f} {text}\n')
        self._file.flush()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers, bytes] | None:
    """Read a message with a length or in chunks; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
    return first, headers, body


def encode_response(response: Response) -> bytes:
    """Return the bytes of a response with its length."""
    lines = [f'HTTP/1.1 {response.status} Status']
    lines += [f'{name}: {value}' for name, value in response.headers.items()]
    lines.append(f'Content-Length: {len(response.body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + response.body


class Server:
    """HTTP server that serves one request at a time on a connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._accept, host, port)

    def close(self) -> None:
        """Accept no more, and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (message := await read_message(reader)) is not None:
            first, headers, body = message
            method, target, _ = first.split(' ')
            running = asyncio.ensure_future(
                self._handler(Request(method, target, headers, body))
            )
            closing = asyncio.ensure_future(_wait_closed(reader))
            try:
                await asyncio.wait(
                    (running, closing), return_when=asyncio.FIRST_COMPLETED
                )
                if not running.done():
                    return
                writer.write(encode_response(running.result()))
                await writer.drain()
            finally:
                running.cancel()
                closing.cancel()


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object as the operator does."""
        known = self.objects.get(kind, {}).get(name)
        return self._write(kind, name, known, spec=spec)

    def _write(
        self,
        kind: str,
        name: str,
        known: dict[str, Any] | None,
        **fields: Any,
    ) -> dict[str, Any]:
        found = known or {'spec': None, 'status': None}
        changed = {**found, **fields}
        if known is not None and changed == known:
            return known
        self.revision += 1
        made = self.revision
        if known is not None:
            made = known['metadata']['createRevision']
        changed['metadata'] = {
            'name': name,
            'rev': self.revision,
            'createRevision': made,
            'finalizers': [],
            'deleting': False,
        }
        self.objects.setdefault(kind, {})[name] = changed
        self._events.append((self.revision, kind, changed, False))
        self._notify()
        return changed

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, request: Request) -> Response:
        """Answer a call."""
        await asyncio.sleep(0.004)
        path, _, query = request.target.partition('?')
        parts = [parse.unquote(part) for part in path.split('/')[2:]]
        fields = dict(parse.parse_qsl(query))
        kind, name = parts[0], parts[1] if len(parts) > 1 else ''
        if request.method == 'GET':
            return await self._read(kind, name, fields)
        content = json.loads(request.body or b'{}')
        return self._change(request.method, kind, parts[1:], content, fields)

    async def _read(self, kind: str, name: str, fields: Headers) -> Response:
        objects = self.objects.get(kind, {})
        if name:
            if name not in objects:
                return reply(404, {})
            return reply(200, objects[name])
        if 'watch' not in fields:
            items = [objects[key] for key in sorted(objects)]
            return reply(
                200,
                {
                    'items': items,
                    'hasMore': False,
                    'currentRev': self.revision,
                },
            )
        since = int(fields['watch'])
        until = time.monotonic() + int(fields['waitMs']) / 1000
        while True:
            events = [
                {'object': obj, 'deleted': deleted}
                for revision, of, obj, deleted in self._events
                if revision > since and of == kind
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return reply(
                    200, {'events': events, 'currentRev': self.revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _change(
        self,
        method: str,
        kind: str,
        rest: list[str],
        content: dict[str, Any],
        fields: Headers,
    ) -> Response:
        meta = content.get('metadata') or {}
        name = rest[0] if rest else meta['name']
        known = self.objects.get(kind, {}).get(name)
        if method == 'POST':
            if known is not None:
                return reply(409, known)
            made = self._write(kind, name, None, spec=content.get('spec'))
            return reply(201, made)
        if known is None:
            return reply(404, {})
        expected = meta.get('rev', fields.get('rev'))
        if expected is not None and int(expected) != known['metadata']['rev']:
            return reply(409, known)
        part = 'status' if len(rest) > 1 else 'spec'
        changed = {part: content.get(part)}
        return reply(200, self._write(kind, name, known, **changed))


def reply(status: int, content: Any) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status,
        {'Content-Type': 'application/json'},
        json.dumps(content).encode(),
    )


@dataclasses.dataclass
class Run:
    """One run of a request on a worker.

    ``ended_at`` is None while it goes on; ``is_done`` tells whether the
    worker has made the answer.
    """

    at: float
    worker: str
    request_id: str
    headers: Headers
    target: str
    ended_at: float | None = None
    is_done: bool = False


class Worker:
    """Worker of a service, beside a node.

    ``work_s`` is the time that a request takes, ``body`` the answer's body
    on paths below ``/large/``; other answers are short.
    """

    def __init__(
        self,
        record: Record,
        instance: str,
        service: str,
        address: tuple[str, int],
        *,
        version: str = 'v1',
        slots: int = 6,
        work_s: float = 0.02,
        body: bytes = b'',
    ) -> None:
        self.instance = instance
        self.service = service
        self.version = version
        self.address = address
        self.slots = slots
        self.work_s = work_s
        self.body = body
        self.born_ms = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.running = 0
        self.leaving = False
        self._sequence = 0
        self._record = record
        self._server = Server(self.handle)
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen for requests."""
        await self._server.listen(*self.address)
        self._record.add(
            f'worker {self.instance} of {self.service} {self.version} starts'
        )

    def start_beats(self, control: tuple[str, int], every_s: float) -> None:
        """Send a status report to the node now and at each interval."""
        self._beating = asyncio.ensure_future(self._beat(control, every_s))

    async def _beat(self, control: tuple[str, int], every_s: float) -> None:
        while True:
            await send_report(control, self.make_report())
            await asyncio.sleep(every_s)

    def make_report(self, state: str = 'ready') -> Report:
        """Return the next status report."""
        self._sequence += 1
        host, port = self.address
        return Report(
            self.instance,
            {
                'address': f'{host}:{port}',
                'born': self.born_ms,
                'info': {
                    'service': self.service,
                    'version': self.version,
                    'zone': 'souss-a',
                    'slots': self.slots,
                },
                'status': {
                    'state': state,
                    'sequence': self._sequence,
                    'coldLeft': '0ms',
                },
            },
        )

    def crash(self) -> None:
        """End without a word."""
        self._record.add(f'worker {self.instance} crashes')
        self.stop()

    def stop(self) -> None:
        """End all connections and reports."""
        if self._beating is not None:
            self._beating.cancel()
        self._server.close()

    async def handle(self, request: Request) -> Response:
        """Run a request."""
        request_id = request.headers.get('x-request-id', '')
        named = {'X-Request-Id': request_id} if request_id else {}
        if request.target == '/healthz':
            return Response(
                503 if self.leaving else 200,
                {
                    'X-Instance-Id': self.instance,
                    'X-Server-Load': f'{self.running},0,{self.slots}',
                },
                b'',
            )
        expected = request.headers.get('x-expect-instance', self.instance)
        if expected != self.instance:
            self._record.add(
                f'worker {self.instance} rejects {request_id}, meant for '
                f'{expected}'
            )
            fields = {**named, 'X-Instance-Id': self.instance}
            return Response(421, fields, b'')
        if not request_id:
            return Response(400, {'X-Not-Run': '1'}, b'')
        if self.running >= self.slots:
            return Response(503, {**named, 'X-Not-Run': '1'}, b'')
        self.running += 1
        try:
            return await self.run(request, request_id, named)
        finally:
            self.running -= 1

    async def run(
        self, request: Request, request_id: str, named: Headers
    ) -> Response:
        """Run a request that this worker takes."""
        run = Run(
            time.monotonic(),
            self.instance,
            request_id,
            request.headers,
            request.target,
        )
        self.runs.append(run)
        self._record.add(
            f'worker {self.instance} of {self.service} runs {request_id}, '
            f'X-Caller {request.headers.get("x-caller")}'
        )
        try:
            await asyncio.sleep(self.work_s)
            run.is_done = True
        finally:
            run.ended_at = time.monotonic()
        return Response(
            200,
            {**named, 'X-Server-Stamp': f'{self.instance}.{request_id}'},
            self.body
            if request.target.startswith('/large/')
            else f'{self.instance} {request_id}'.encode(),
        )


class Report(NamedTuple):
    """Status report of a worker; a notice that it leaves has no body."""

    instance: str
    content: dict[str, Any]


async def send_report(
    control: tuple[str, int],
    report: Report,
    call: str = 'instances.heartbeat',
) -> int:
    """Send a status report; return the status, 0 without an answer."""
    answer = await ask(
        control,
        'POST',
        f'/rpc?call={call}&of={report.instance}',
        {'Content-Type': 'application/json'},
        json.dumps(report.content).encode(),
        timeout_s=1.0,
    )
    return answer.status if answer is not None else 0


async def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Response | None:
    """Send a request on a new connection; None without a whole answer."""
    host, port = address
    fields = {'Host': f'{host}:{port}', **(headers or {})}
    if body or method == 'POST':
        fields['Content-Length'] = str(len(body))
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
    if message is None:
        return None
    first, found, content = message
    return Response(int(first.split(' ')[1]), found, content)


class Connection:
    """Kept connection of a requester that reads at a limited rate.

    Its window is small, as that of a requester behind a slow link.

    :param bytes_per_s: rate at which the requester takes answers
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: tuple[str, int]) -> None:
        """Connect to a node.

        :raises OSError: if the node does not accept
        """
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        self._reader, self._writer = await asyncio.open_connection(
            sock=sock, limit=WINDOW_BYTES
        )

    def send(
        self,
        request_id: str,
        path: str,
        deadline_ms: int,
        method: str = 'GET',
        body: bytes = b'',
    ) -> None:
        """Send a request."""
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Request-Id: {request_id}',
            f'X-Deadline-Ms: {deadline_ms}',
        ]
        if method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        self._writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        self._writer.write(body)

    async def receive(self, timeout_s: float) -> Answer:
        """Read an answer, or what there is of it."""
        began = time.monotonic()
        status = received = length = 0
        headers: Headers = {}
        try:
            async with asyncio.timeout(timeout_s):
                head = await self._reader.readuntil(b'\r\n\r\n')
                first, *lines = head.decode('latin-1').split('\r\n')[:-2]
                status = int(first.split(' ')[1])
                for line in lines:
                    name, _, value = line.partition(':')
                    headers[name.lower()] = value.strip()
                length = int(headers.get('content-length', 0))
                while received < length:
                    left = length - received
                    data = await self._reader.read(min(left, 8192))
                    if not data:
                        raise ConnectionResetError
                    received += len(data)
                    due = began + received / self._bytes_per_s
                    await asyncio.sleep(max(0.0, due - time.monotonic()))
        except TimeoutError:
            return Answer(End.TIME_OVER, status, headers, received, length)
        except (OSError, asyncio.IncompleteReadError):
            return Answer(End.CLOSED, status, headers, received, length)
        return Answer(End.WHOLE, status, headers, received, length)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()


class End(enum.Enum):
    """How the wait for an answer ended."""

    WHOLE = 'a whole answer'
    CLOSED = 'a closed connection'
    TIME_OVER = 'the end of the time'


class Answer(NamedTuple):
    """What a requester got; ``status`` is 0 without a head."""

    end: End
    status: int
    headers: Headers
    received: int
    length: int

    def __str__(self) -> str:
        return (
            f'{self.end.value}, status {self.status}, {self.received} of '
            f'{self.length} bytes'
        )


class Ports(NamedTuple):
    """Ports that are the same on all machines."""

    inbound: int
    app: int
    ready: int
    outbound: int
    control: int
    internal: int
    metrics: int


def choose_ports() -> Ports:
    """Return ports that nobody listens on at the moment."""
    sockets = [socket.socket() for _ in Ports._fields]
    try:
        for sock in sockets:
            sock.bind(('127.0.0.1', 0))
        return Ports(*(sock.getsockname()[1] for sock in sockets))
    finally:
        for sock in sockets:
            sock.close()


class Machine:
    """A machine with a node; its worker is started by the case."""

    def __init__(self, system: System, number: int, service: str) -> None:
        self.name = f'sidecar-souss-a-{number}'
        self.service = service
        self.ip = f'127.{system.net}.1.{number}'
        self.ports = system.ports
        self.log = system.folder / f'{self.name}.log'
        self.kills = 0
        self._system = system
        self._settings = system.folder / f'{self.name}.toml'
        self._process: asyncio.subprocess.Process | None = None

    @property
    def app(self) -> tuple[str, int]:
        """Return the address of the worker."""
        return self.ip, self.ports.app

    @property
    def control(self) -> tuple[str, int]:
        """Return the address for status reports."""
        return self.ip, self.ports.control

    @property
    def outbound(self) -> tuple[str, int]:
        """Return the address for requesters."""
        return self.ip, self.ports.outbound

    async def start(self) -> None:
        """Start the node with the service that the machine has now."""
        self._write_settings()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['node']['run'].split(' ')
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            SETTINGS_VARIABLE: str(self._settings),
        }
        with self.log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._system.record.add(
            f'node {self.name} starts, settings name {self.service}'
        )

    def send_signal(self, signum: int) -> None:
        """Send a signal to the node."""
        self._system.record.add(
            f'node {self.name} gets {signal.Signals(signum).name}'
        )
        self._process.send_signal(signum)

    def memory_mb(self) -> int:
        """Return the memory that the node uses now; 0 if it has ended."""
        return self._memory_mb('VmRSS:')

    def peak_memory_mb(self) -> int:
        """Return the most memory that this process of the node has used."""
        return self._memory_mb('VmHWM:')

    def _memory_mb(self, name: str) -> int:
        status = pathlib.Path(f'/proc/{self._process.pid}/status')
        try:
            lines = status.read_text().splitlines()
        except OSError:
            return 0
        found = [line.split()[1] for line in lines if line.startswith(name)]
        return int(found[0]) // 1024 if found else 0

    async def kill(self) -> None:
        """Kill the node and wait for its end."""
        self.kills += 1
        self.send_signal(signal.SIGKILL)
        await self._process.wait()

    async def end(self) -> None:
        """End the node at the end of the case."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def is_ready(self) -> bool:
        """Return the answer to the platform's question."""
        answer = await ask(
            (self.ip, self.ports.ready), 'GET', '/readyz', timeout_s=1.0
        )
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until the node is ready.

        :raises TimeoutError: if it is not in time
        """
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.02)
        self._system.record.add(f'node {self.name} is ready')

    def _write_settings(self) -> None:
        ports = self.ports
        store_host, store_port = self._system.store_address
        self._settings.write_text(
            f'node = "{self.name}"\n'
            'role = "node"\n'
            'machineClass = "sidecar"\n'
            'serves = ["sidecar"]\n'
            f'ip = "{self.ip}"\n'
            'zone = "souss-a"\n'
            'region = "souss"\n'
            f'internalPorts = [{ports.internal},{ports.metrics}]\n'
            'seeds = []\n'
            'bootstrap = false\n'
            'inTolerance = false\n'
            'discovery = "static"\n'
            'entry = "static"\n'
            f'heartbeat = "{self._system.heartbeat_s * 1000:.0f}ms"\n'
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"rollout","platform"]\n'
            f'appAddr = "{self.ip}:{ports.app}"\n'
            f'service = "{self.service}"\n'
            '[zones]\n'
            'souss-a = "souss"\n'
            '[listen]\n'
            f'inbound = "{self.ip}:{ports.inbound}"\n'
            f'outbound = "{self.ip}:{ports.outbound}"\n'
            f'ready = "{self.ip}:{ports.ready}"\n'
            f'control = "{self.ip}:{ports.control}"\n'
            '[limits]\n'
            'cpuShare = 0.86\n'
            'cores = 1\n'
            'memoryMb = 300\n'
            'maxFds = 4100\n'
            f'linkMbps = {self._system.link_mbps}\n'
            'diskMb = 0\n'
            '[faultTolerance]\n'
            'machines = 2\n'
            'zones = 0\n'
            'regions = 0\n'
            '[bounds]\n'
            'seedLag = "3s"\n'
            'reuseAfter = "2s"\n'
            'stable = "3000ms"\n'
            'ack = "4000ms"\n'
            'sync_time = "4s"\n'
            'drain = "2000ms"\n'
            'grace = "6s"\n'
            'lossSlack = "200ms"\n'
            'apply = "2000ms"\n'
            'downgrade = "250ms"\n'
            'maxStretch = "5000ms"\n'
            'retryRatio = 0.2\n'
            'retryWindow = "10s"\n'
            f'retrySlack = {self._system.retry_slack}\n'
            'exposeShare = 0.1\n'
            'exposeSlack = 50\n'
            'rollback = "5000ms"\n'
            'recovery = "15s"\n'
            '[platform]\n'
            f'address = "{store_host}:{store_port}"\n'
            'form = "objects"\n'
            'writesPerS = 400\n'
            'readsPerS = 2000\n'
            'history = "20s"\n'
            'valueBytes = 1048576\n'
            'ttlMin = "1000ms"\n',
            encoding='utf-8',
        )


class System:
    """A small deployment: store, nodes, workers and requesters.

    :param folder: temporary folder for settings and logs
    """

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        heartbeat_s: float = 0.87,
        link_mbps: float = 1000.0,
        retry_slack: int = 56,
    ) -> None:
        self.record = record
        self.folder = folder
        self.heartbeat_s = heartbeat_s
        self.link_mbps = link_mbps
        self.retry_slack = retry_slack
        self.net = random.randrange(16, 250)  # noqa: S311
        self.ports = choose_ports()
        self.store = Store()
        self.store_address = (f'127.{self.net}.0.1', self.ports.inbound)
        self.machines: list[Machine] = []
        self.workers: list[Worker] = []
        self._numbers = iter(range(1, 1_000_000))

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.server.listen(*self.store_address)

    def add_machine(self, service: str) -> Machine:
        """Add a machine; its node is not started."""
        machine = Machine(self, len(self.machines) + 1, service)
        self.machines.append(machine)
        return machine

    async def add_worker(
        self, machine: Machine, instance: str, service: str, **options: Any
    ) -> Worker:
        """Start a worker on a machine; it sends no reports yet."""
        worker = Worker(self.record, instance, service, machine.app, **options)
        await worker.start()
        self.workers.append(worker)
        return worker

    def new_id(self) -> str:
        """Return the id of a new request."""
        return f'{next(self._numbers):016x}'

    async def send(
        self,
        machine: Machine,
        path: str,
        method: str = 'GET',
        deadline_ms: int = 3000,
        request_id: str = '',
    ) -> Response | None:
        """Send a request as a requester on a machine does."""
        request_id = request_id or self.new_id()
        self.record.add(
            f'requester on {machine.name} sends {request_id}, {method} {path}'
        )
        answer = await ask(
            machine.outbound,
            method,
            path,
            {
                'Host': HOST,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': str(deadline_ms),
            },
            timeout_s=deadline_ms / 1000,
        )
        told = 'no answer' if answer is None else str(answer.status)
        self.record.add(
            f'requester on {machine.name} gets {told}, {request_id}'
        )
        return answer

    async def end(self) -> None:
        """End everything that was started."""
        for worker in self.workers:
            worker.stop()
        for machine in self.machines:
            await machine.end()
        self.store.server.close()


def make_rule(path: str, kind: str, service: str, **action: Any) -> Any:
    """Return a route's rule as the operator writes it."""
    return {
        'name': 'r-' + path.strip('/'),
        'routeKind': kind,
        'latencySlo': '500ms',
        'priority': 1,
        'match': {'pathPrefix': path},
        'action': {
            'service': service,
            'timeout': '3000ms',
            'maxAttempts': 2,
            **action,
        },
    }


def make_config(version: int, rules: list[Any], services: list[str]) -> Any:
    """Return a configuration as the operator writes it."""
    return {
        'version': f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
        'listeners': [{'host': HOST, 'routeRules': rules}],
        'clusters': [
            {
                'name': service,
                'healthPath': '/healthz',
                'maxConns': 110,
                'protocol': 'h1',
                'tls': False,
            }
            for service in services
        ],
    }


def has_trouble() -> bool:
    """Return whether the case is to run with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(
    record_path: str, play: Callable[[System], Awaitable[bool]], **options: Any
) -> int:
    """Play a case and return its exit status.

    :param record_path: path of the file for the record
    :param play: returns whether the rule held
    """
    record = Record(pathlib.Path(record_path))

    async def run() -> int:
        # The nodes are ended also when the script is stopped.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        with tempfile.TemporaryDirectory() as temporary:
            system = System(record, pathlib.Path(temporary), **options)
            try:
                async with asyncio.timeout(110):
                    await system.start_store()
                    held = await play(system)
            finally:
                await system.end()
        record.add('the rule held' if held else 'the rule was broken')
        return HOLDS if held else BROKEN

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:  # noqa: BLE001
        # Python would end with the status of a broken rule.
        record.add(f'the case could not run: {exc!r}')
        return NOT_RUN

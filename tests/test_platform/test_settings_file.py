"""The settings file of a node's process changes without a signal.

Guards against requests that go on under the name of the service that the
upstream's address belonged to before (case 9 of the review).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys

import msgspec
import pytest

from damaskpier.http1 import client as http_client
from damaskpier.http1 import messages
from damaskpier.http1 import server
from damaskpier.platform import endpoints
from damaskpier.platform import headers
from damaskpier.platform import settings

from tests.test_platform import conftest

# Nothing else listens on this address, so that ports that were free stay free.
HOST = '127.0.0.77'
BOOT = """
node = "side-1"
ip = "{host}"
zone = "a"
region = "r"
internalPorts = [1, {metrics}]
heartbeat = "1500ms"
appAddr = "{host}:{app}"
service = "{service}"
[listen]
inbound = "{host}:{inbound}"
outbound = "{host}:{outbound}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[bounds]
grace = "500ms"
apply = "2000ms"
retryRatio = 0.2
retrySlack = 58
retryWindow = "10s"
[platform]
address = "{store_host}:{store}"
"""
PORT_NAMES = ('metrics', 'inbound', 'outbound', 'ready', 'control')


class Machine:
    """Machine with the process of a node and an upstream.

    ``callers`` lists the callers of the requests that the upstream ran.
    """

    def __init__(self, path, store_port: int) -> None:
        self.path = path
        self.callers: list[str] = []
        self.upstream = server.Server(self._answer)
        self.ports = {**_free_ports(), 'store': store_port}

    def write_settings(self, service: str) -> None:
        """Replace the settings file."""
        text = BOOT.format(
            host=HOST,
            store_host=conftest.HOST,
            service=service,
            **self.ports,
        )
        self.path.write_text(text)

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the process of the node."""
        await self.upstream.listen(HOST, 0)
        self.ports['app'] = self.upstream.port
        self.write_settings('s1')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'damaskpier.platform.node',
            env={settings.PATH_VARIABLE: str(self.path)},
        )
        try:
            yield
        finally:
            process.kill()
            await process.wait()
            await self.upstream.stop(0.0)

    async def announce(self, service: str, instance: str, born: int) -> bool:
        """Send a heartbeat; returns whether it was acknowledged."""
        content = {
            'address': f'{HOST}:{self.upstream.port}',
            'born': born,
            'info': {'service': service, 'version': 'v1', 'slots': 4},
            'status': {'state': 'ready', 'sequence': 1},
        }
        response = await self._request(
            'control',
            'POST',
            f'/rpc?call={endpoints.HEARTBEAT_CALL}&of={instance}',
            msgspec.json.encode(content),
        )
        return getattr(response, 'status', None) == 200

    async def caller_of_request(self, path: str) -> str:
        """Send a request; returns its caller, empty if it was not run."""
        count = len(self.callers)
        await self._request('outbound', 'GET', path)
        return self.callers[-1] if len(self.callers) > count else ''

    async def _request(self, port, method, target, body=b''):
        pool = http_client.Pool(HOST, self.ports[port])
        fields = (('Host', 'h.example'), (headers.REQUEST_ID, 'r1'))
        return await pool.request(
            messages.encode_request(method, target, fields, body),
            http_client.Options(
                asyncio.get_running_loop().time() + conftest.TEST_TIMEOUT_S
            ),
        )

    async def _answer(self, request: messages.Request) -> messages.Response:
        self.callers.append(request.header(headers.CALLER.lower()))
        return messages.Response(200, ((headers.SIGNATURE, 's'),))


def _free_ports() -> dict[str, int]:
    with contextlib.ExitStack() as stack:
        ports = {}
        for name in PORT_NAMES:
            sock = stack.enter_context(socket.socket())
            sock.bind((HOST, 0))
            ports[name] = sock.getsockname()[1]
        return ports


@pytest.fixture
async def machine(fake, operator_config, tmp_path):
    """Return a machine of which the node has started."""
    fake.put('config', 'main', operator_config())
    made = Machine(tmp_path / 'boot.toml', fake.server.port)
    async with made.run():
        yield made


async def _wait_until(check) -> None:
    async with asyncio.timeout(conftest.TEST_TIMEOUT_S):
        while not await check():
            await asyncio.sleep(0.05)


async def test_caller_follows_the_file_without_a_signal(machine):
    """The address of an ended upstream goes to one of another service."""

    async def is_called(path: str, service: str) -> bool:
        return await machine.caller_of_request(path) == service

    await _wait_until(lambda: machine.announce('s1', 'i-1', 1))
    await _wait_until(lambda: is_called('/a/1', 's1'))
    machine.write_settings('s2')
    await _wait_until(lambda: machine.announce('s2', 'i-2', 2))
    machine.callers.clear()
    await _wait_until(lambda: is_called('/b/1', 's2'))
    assert set(machine.callers) == {'s2'}

"""Tests of the fake platform over HTTP, admin paths included."""

from __future__ import annotations

import json
import signal
import subprocess
import sys

import pytest
from tornado import httpclient

from damaskpier.fakes import platform as fake


@pytest.fixture
async def call():
    """Return a function that calls a fake platform over HTTP."""
    running = fake.start_platform(fake.Platform())
    client = httpclient.AsyncHTTPClient(force_instance=True)

    async def call(method, path, body=None, **headers):
        response = await client.fetch(
            f'http://127.0.0.1:{running.port}{path}',
            method=method,
            body=body,
            headers=headers,
            raise_error=False,
            request_timeout=60.0,
        )
        return response

    yield call
    client.close()
    await running.stop()


async def test_conditional_updates_answer_with_the_current_object(call):
    reply = await call('PUT', '/v1/objects/a', b'1', **{'If-Match': '"0"'})
    assert (reply.code, reply.headers['ETag']) == (200, '"1"')
    reply = await call('PUT', '/v1/objects/a', b'2', **{'If-Match': '"0"'})
    assert (reply.code, reply.headers['ETag']) == (412, '"1"')
    assert reply.body == b'1'
    reply = await call('PUT', '/v1/objects/a', b'2', **{'If-Match': 'x'})
    assert reply.code == 400
    reply = await call('DELETE', '/v1/objects/a', **{'If-Match': '"9"'})
    assert reply.code == 412
    assert (await call('DELETE', '/v1/objects/a')).code == 204


async def test_calls_and_bytes_are_counted_per_kind(call):
    await call('PUT', '/v1/objects/a', b'x' * 1000)
    await call('GET', '/v1/objects/a')
    await call('GET', '/v1/objects?prefix=a')
    await call('GET', '/v1/watch?prefix=a&after=0')
    counters = json.loads((await call('GET', '/admin/counters')).body)
    for kind in ('put', 'get', 'list', 'watch'):
        assert counters[kind] == 1
    assert 1000 < counters['bytes_in'] < 3000
    assert 2300 < counters['bytes_out'] < 4000
    await call('POST', '/admin/reset', b'')
    assert json.loads((await call('GET', '/admin/counters')).body) == {}


async def test_a_waiting_watch_counts_once_and_returns_changes(call):
    """A watch counts as one call, however long it waits.

    Otherwise a client that waits would reach the rate limit of reads.
    """
    reply = await call('GET', '/v1/watch?prefix=a&after=0&wait=1.5')
    assert json.loads(reply.body) == {'revision': 0, 'changes': []}
    assert reply.body.startswith(fake.KEEPALIVE)
    await call('PUT', '/v1/objects/a', b'1')
    await call('DELETE', '/v1/objects/a')
    reply = await call('GET', '/v1/watch?prefix=a&after=1')
    (change,) = json.loads(reply.body)['changes']
    assert change == {'key': 'a', 'version': 2, 'deleted': True}
    counters = json.loads((await call('GET', '/admin/counters')).body)
    assert counters['watch'] == 2


async def test_faults_are_set_by_the_admin_path(call):
    body = json.dumps({'down': 'refuse'})
    assert (await call('POST', '/admin/faults', body)).code == 200
    assert (await call('PUT', '/v1/objects/a', b'1')).code == 503
    body = json.dumps({'slow_ms': 5, 'lose_fraction': 1.0})
    await call('POST', '/admin/faults', body)
    with pytest.raises(httpclient.HTTPError) as caught:
        await call('PUT', '/v1/objects/a', b'1')
    assert caught.value.code == 599
    await call('POST', '/admin/faults', '{}')
    assert (await call('GET', '/v1/objects/a')).body == b'1'
    for body in ('{"donw": "hang"}', '{"down": "sideways"}', '['):
        assert (await call('POST', '/admin/faults', body)).code == 400


def test_lost_answers_depend_only_on_the_seed():
    """The same seed loses the same answers.

    Otherwise a test that fails with lost answers could not be repeated.
    """

    def lost_answers(seed):
        platform = fake.Platform()
        platform.set_faults(fake.Faults(lose_fraction=0.5, seed=seed))
        return [platform.should_lose_answer() for _ in range(20)]

    assert lost_answers(1) == lost_answers(1)
    assert lost_answers(1) != lost_answers(2)


def test_the_program_writes_its_port_and_stops(tmp_path):
    ready = tmp_path / 'ready.json'
    program = subprocess.Popen(
        [sys.executable, '-m', 'damaskpier.cmd.fake_platform']
        + ['--ready-file', str(ready)]
    )
    try:
        while not ready.exists():
            assert program.poll() is None
        port = json.loads(ready.read_text())['port']
        client = httpclient.HTTPClient()
        url = f'http://127.0.0.1:{port}/admin/counters'
        assert client.fetch(url).code == 200
        client.close()
    finally:
        program.send_signal(signal.SIGTERM)
    assert program.wait(60) == 0

"""Calls that workers make while they run a request.

The test guards against calls that wait behind requests of callers until their
deadline, so that the work of the requests that made them is lost.
"""

from __future__ import annotations

import asyncio

from damaskpier.fleet import model
from damaskpier.platform import headers
from damaskpier.teams import keys

from tests.test_fleet import conftest

KEY = 'key-of-bozi'
URGENT = model.Team('bozi', (keys.digest_of_key(KEY.encode()),), priority=0)
KEY_FIELD = ((headers.API_KEY, KEY),)


async def test_call_of_an_urgent_request_is_urgent(fleet):
    fleet.store.put(
        conftest.make_configuration(
            2,
            (
                conftest.make_route('page', 'pages', priority=1),
                conftest.make_route('read', 'reads', priority=1),
                conftest.make_route(
                    'check', 'reads', priority=2, is_public=True
                ),
            ),
            (URGENT,),
        )
    )
    caller = await fleet.add('pages')
    called = await fleet.add('reads')
    called.upstream.slots = 1
    called.announce(started_ms=2)
    await fleet.wait_converged()
    may_end = asyncio.Event()

    async def wait(request):
        await may_end.wait()
        return called.upstream.signed(200)

    async def make_call(request):
        await caller.request('/check/1', request_id='call')
        return caller.upstream.signed(200)

    called.upstream.answer = wait
    caller.upstream.answer = make_call
    admission = called.app.service('worker').admission
    sent = [_send(called, '/read/1')]
    await conftest.wait_until(lambda: len(called.upstream.ran) == 1)
    sent.append(_send(called, '/read/2'))
    await conftest.wait_until(lambda: len(admission.waiting) == 1)
    sent.append(_send(caller, '/page/1'))
    await conftest.wait_until(lambda: len(admission.waiting) == 2)
    may_end.set()
    await asyncio.gather(*sent)
    paths = [request.path for request in called.upstream.ran]
    assert paths == ['/read/1', '/check/1', '/read/2']


def _send(node: conftest.Node, target: str) -> asyncio.Task:
    return asyncio.create_task(
        node.request(target, request_id=target, fields=KEY_FIELD)
    )

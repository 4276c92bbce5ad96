"""Callers of the demonstration: a steady stream of seeded requests."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any
from typing import NamedTuple

from tornado import httpclient

REQUEST_LIMIT_S = 8.0
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.05
# A node that is stopped as planned goes on to take requests for a second.
HEALTH_INTERVAL_S = 0.2


class Route(NamedTuple):
    """Route that callers use."""

    name: str
    method: str
    path: str
    repeatable: bool


class Answer(NamedTuple):
    """What a caller got for one attempt of a request.

    ``run`` is the run state: ``run`` where an upstream answered.
    """

    status: int
    run: str
    result: str = ''
    version: str = ''
    service: str = ''
    is_own: bool = True


class Request(NamedTuple):
    """Request of a caller with its last answer.

    ``start`` and ``end`` are monotonic seconds.
    """

    request_id: str
    route: Route
    entry: str
    attempts: int
    answer: Answer
    start: float
    end: float

    @property
    def is_ok(self) -> bool:
        """Tell whether the caller got a complete, successful response."""
        return 200 <= self.answer.status < 300


class Callers:
    """Sends requests to all nodes that accept connections.

    As a careful caller would, they repeat a request only if it certainly
    did not run, or if its route is repeatable. As a load balancer would,
    they send nothing more to a node whose health page says that it leaves.

    :param entries: ``HOST:PORT`` by name of the node
    :param health: address of the admin port by name of the node
    :param rate: requests per second
    """

    def __init__(
        self,
        routes: tuple[Route, ...],
        entries: dict[str, str],
        health: dict[str, str],
        rate: float,
        seed: int,
    ) -> None:
        self.requests: list[Request] = []
        self._routes = routes
        self._entries = dict(entries)
        self._health = health
        self._rate = rate
        self._rng = random.Random(seed)
        self._count = 0
        self._pending: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=2000
        )

    def start(self) -> None:
        """Begin to send requests."""
        self._tasks = [
            asyncio.create_task(self._send_forever()),
            asyncio.create_task(self._check_forever()),
        ]

    async def stop(self) -> None:
        """Send no more requests and wait for the running ones."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._pending:
            await asyncio.gather(*self._pending)
        self._client.close()

    async def _send_forever(self) -> None:
        due = time.monotonic()
        while True:
            self._count += 1
            route = self._rng.choice(self._routes)
            task = asyncio.create_task(
                self._request(f'demo-{self._count}', route)
            )
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
            due += self._rng.expovariate(self._rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _check_forever(self) -> None:
        while True:
            await asyncio.gather(*map(self._check, list(self._entries)))
            await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _check(self, entry: str) -> None:
        try:
            response = await self._client.fetch(
                f'http://{self._health[entry]}/healthz',
                request_timeout=REQUEST_LIMIT_S,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError):
            return
        if _content(response.body).get('state') == 'draining':
            self._entries.pop(entry, None)

    async def _request(self, request_id: str, route: Route) -> None:
        start = time.monotonic()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            entry = self._rng.choice(sorted(self._entries))
            answer = await self._attempt(request_id, route, entry)
            if not _may_repeat(route, answer):
                break
            await asyncio.sleep(RETRY_DELAY_S * attempt)
        self.requests.append(
            Request(
                request_id,
                route,
                entry,
                attempt,
                answer,
                start,
                time.monotonic(),
            )
        )

    async def _attempt(
        self, request_id: str, route: Route, entry: str
    ) -> Answer:
        address = self._entries.get(entry)
        if address is None:
            return Answer(0, 'not-run')
        try:
            response = await self._client.fetch(
                f'http://{address}{route.path}',
                method=route.method,
                body=b'{}' if route.method == 'POST' else None,
                headers={'Damaskpier-Request-Id': request_id},
                request_timeout=REQUEST_LIMIT_S,
                raise_error=False,
            )
        except ConnectionRefusedError:
            # The node is gone; nothing was sent.
            self._entries.pop(entry, None)
            return Answer(0, 'not-run')
        except (OSError, httpclient.HTTPError):
            return Answer(0, 'unknown')
        return _answer(response, request_id)


def _answer(response: httpclient.HTTPResponse, request_id: str) -> Answer:
    content = _content(response.body)
    result = response.headers.get('Damaskpier-Result', '')
    run = response.headers.get('Damaskpier-Run', 'unknown' if result else '')
    # Only upstreams name the request that they ran.
    answered = content.get('request_id')
    return Answer(
        response.code,
        run or 'run',
        result,
        str(content.get('version', '')),
        str(content.get('service', '')),
        answered == request_id if answered is not None else bool(result),
    )


def _content(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}


def _may_repeat(route: Route, answer: Answer) -> bool:
    if answer.run == 'not-run':
        return True
    return answer.run == 'unknown' and route.repeatable

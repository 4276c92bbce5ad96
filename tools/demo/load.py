"""Load generator of the demonstration, with a seeded order of requests."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any
from typing import NamedTuple

from tornado import httpclient

REQUEST_TIMEOUT_S = 8.0
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.05
# A draining node accepts requests for one more second, so that this interval
# leaves time to see its state before connections are refused.
HEALTH_POLL_INTERVAL_S = 0.2


class Route(NamedTuple):
    """Route that callers send requests to.

    ``repeatable`` states whether a request may run more than once.
    """

    name: str
    method: str
    path: str
    repeatable: bool


class Answer(NamedTuple):
    """Answer to one attempt of a request.

    ``status`` is the HTTP status, 0 if no response arrived. ``run`` is the
    run state: ``run`` if an upstream answered, else ``not-run`` or
    ``unknown``. ``result`` is the result code of a node, empty if an upstream
    answered. ``is_own`` is False if the response holds the id of another
    request, or neither a request id nor a result code.
    """

    status: int
    run: str
    result: str = ''
    version: str = ''
    service: str = ''
    is_own: bool = True


class Request(NamedTuple):
    """Request of a caller with the answer to its last attempt.

    ``entry`` is the name of the node that the last attempt was sent to.
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
        """Whether the caller got a complete, successful response."""
        return 200 <= self.answer.status < 300


class LoadGenerator:
    """Sends requests to random nodes that accept connections.

    A request is retried only if it certainly did not run, or if its route
    is repeatable and its run state is unknown. As behind a load balancer,
    a node whose health page reports the state ``draining`` gets no more
    requests.

    :param routes: routes to choose from, with equal probability
    :param entries: ``HOST:PORT`` of the HTTP port by name of the node
    :param health: ``HOST:PORT`` of the admin port by name of the node
    :param rate: mean of the Poisson arrivals in requests per second
    :param seed: seed of the arrivals, routes and nodes
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
        self._request_count = 0
        self._pending: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=2000
        )

    def start(self) -> None:
        """Start to send requests and to poll the health of the nodes."""
        self._tasks = [
            asyncio.create_task(self._send_forever()),
            asyncio.create_task(self._poll_health_forever()),
        ]

    async def stop(self) -> None:
        """Stop sending requests and wait for the pending ones."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._pending:
            await asyncio.gather(*self._pending)
        self._client.close()

    async def _send_forever(self) -> None:
        due = time.monotonic()
        while True:
            self._request_count += 1
            route = self._rng.choice(self._routes)
            task = asyncio.create_task(
                self._send_request(f'demo-{self._request_count}', route)
            )
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
            due += self._rng.expovariate(self._rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _poll_health_forever(self) -> None:
        while True:
            await asyncio.gather(*map(self._poll_health, list(self._entries)))
            await asyncio.sleep(HEALTH_POLL_INTERVAL_S)

    async def _poll_health(self, entry: str) -> None:
        try:
            response = await self._client.fetch(
                f'http://{self._health[entry]}/healthz',
                request_timeout=REQUEST_TIMEOUT_S,
                raise_error=False,
            )
        except (OSError, httpclient.HTTPError):
            return
        if _parse_object(response.body).get('state') == 'draining':
            self._entries.pop(entry, None)

    async def _send_request(self, request_id: str, route: Route) -> None:
        start = time.monotonic()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            entry = self._rng.choice(sorted(self._entries))
            answer = await self._send_attempt(request_id, route, entry)
            if not _may_retry(route, answer):
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

    async def _send_attempt(
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
                request_timeout=REQUEST_TIMEOUT_S,
                raise_error=False,
            )
        except ConnectionRefusedError:
            # Nothing listens on the port, so the request was not sent.
            self._entries.pop(entry, None)
            return Answer(0, 'not-run')
        except (OSError, httpclient.HTTPError):
            return Answer(0, 'unknown')
        return _parse_answer(response, request_id)


def _parse_answer(
    response: httpclient.HTTPResponse, request_id: str
) -> Answer:
    content = _parse_object(response.body)
    result = response.headers.get('Damaskpier-Result', '')
    run = response.headers.get('Damaskpier-Run', 'unknown' if result else '')
    # Only the body of an upstream holds the id of the request that it ran.
    answered = content.get('request_id')
    return Answer(
        response.code,
        run or 'run',
        result,
        str(content.get('version', '')),
        str(content.get('service', '')),
        answered == request_id if answered is not None else bool(result),
    )


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        content = json.loads(body)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}


def _may_retry(route: Route, answer: Answer) -> bool:
    if answer.run == 'not-run':
        return True
    return answer.run == 'unknown' and route.repeatable

"""Servers for the upstream's heartbeats, the readiness probe and metrics."""

from __future__ import annotations

import logging
from typing import Any
from typing import TYPE_CHECKING
from urllib import parse

import msgspec

from damaskpier.fleet import model
from damaskpier.http1 import messages
from damaskpier.http1 import server
from damaskpier.platform import notation
from damaskpier import registry

if TYPE_CHECKING:
    from damaskpier import application

LOG = logging.getLogger(__name__)

HEARTBEAT = 'instances.heartbeat'
LEAVE = 'instances.leave'
READY_PATH = '/readyz'
METRICS_PATH = '/metrics'
# What reading a message of another writer may raise.
UNREADABLE = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
    msgspec.MsgspecError,
)
_STATES = {'ready': False, 'draining': True}


class Endpoints(registry.Service):
    """Takes heartbeats and answers readiness probes."""

    def __init__(self, app: application.Application) -> None:
        self._app = app
        self._heartbeats = server.Server(self._control)
        self._health = server.Server(self._ready)
        self._metrics = server.Server(self._show_metrics)

    async def start(self) -> None:
        """Listen on the three addresses."""
        cfg = self._app.cfg
        host = cfg.text('node', 'host')
        for part, name in (
            (self._heartbeats, 'admin_port'),
            (self._health, 'health_port'),
            (self._metrics, 'metrics_port'),
        ):
            await part.listen(host, cfg.integer('node', name))

    async def stop(self) -> None:
        """Stop listening."""
        for part in (self._heartbeats, self._health, self._metrics):
            await part.stop(0.0)

    async def _ready(self, request: messages.Request) -> messages.Response:
        if request.path != READY_PATH:
            return messages.Response(404)
        may_come = self._app.service('ingress').probed()
        return messages.Response(200 if may_come else 503)

    async def _show_metrics(
        self, request: messages.Request
    ) -> messages.Response:
        if request.path != METRICS_PATH:
            return messages.Response(404)
        text = self._app.service('metrics').render()
        return messages.Response(
            200, (('Content-Type', 'text/plain'),), text.encode()
        )

    async def _control(self, request: messages.Request) -> messages.Response:
        query = parse.parse_qs(request.target.partition('?')[2])
        call = query.get('call', [''])[0]
        instance = query.get('of', [''])[0]
        if request.method != 'POST' or not instance:
            return messages.Response(404)
        worker = self._app.service('worker')
        if call == LEAVE:
            worker.left(instance)
            return messages.Response(200)
        if call != HEARTBEAT:
            return messages.Response(404)
        try:
            announcement = read_heartbeat(instance, request.body)
        except UNREADABLE as exc:
            LOG.warning(
                'platform: a heartbeat of %s can not be read: %r',
                instance,
                exc,
            )
            return messages.Response(400)
        worker.apply_announcement(announcement)
        return messages.Response(
            200, (('Content-Type', 'application/json'),), b'{}'
        )


def read_heartbeat(instance: str, body: bytes) -> model.Announcement:
    """Return the announcement in a heartbeat.

    :raises: one of :data:`UNREADABLE` if it can not be read
    """
    beat: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
    info = beat['info']
    status = beat['status']
    host, _, port = beat['address'].rpartition(':')
    return model.Announcement(
        instance=instance,
        service=_text(info['service']),
        version=_text(info['version']),
        host=host,
        port=int(port),
        slots=_whole(info['slots']),
        draining=_STATES[status['state']],
        sequence=_whole(status['sequence']),
        started_ms=_whole(beat.get('born', 0)),
        warmup_s=notation.seconds(status.get('coldLeft', '0ms')),
    )


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f'{value!r} is not a text')
    return value


def _whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f'{value!r} is not a whole number')
    return value


def setup(app: application.Application) -> None:
    """Register the service ``endpoints``."""
    app.add_service(
        'endpoints',
        Endpoints(app),
        after=('metrics', 'configuration', 'worker', 'exchange'),
    )

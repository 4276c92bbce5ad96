"""Endpoints for heartbeats, readiness probes and metrics.

This is the service ``endpoints``.
"""

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

HEARTBEAT_CALL = 'instances.heartbeat'
LEAVE_CALL = 'instances.leave'
READY_PATH = '/readyz'
METRICS_PATH = '/metrics'
# Exceptions of :func:`decode_heartbeat` for a message that is not a heartbeat.
DECODE_ERRORS = (
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
    msgspec.MsgspecError,
)
# An upstream waits 1 s for the acknowledgement of a report.
STORE_TIMEOUT_S = 0.85
# Reports have some hundred bytes. What their decoder returns may take 25 times
# the memory of the bytes.
MAX_BODY_BYTES = 64 * 1024
# A worker with more slots is taken for an error of the writer.
MAX_SLOTS = 100_000
# Whether an upstream is draining, by the platform's state.
_DRAINING_BY_STATE = {'ready': False, 'draining': True}


class Endpoints(registry.Service):
    """HTTP servers for the local upstream, readiness probes and metrics.

    The platform calls the port of the heartbeats control, that of the
    readiness probe ready.
    """

    def __init__(self, app: application.Application) -> None:
        self._app = app
        self._heartbeat_server = server.Server(
            self._handle_upstream_call, _limits
        )
        self._readiness_server = server.Server(
            self._handle_readiness_probe, _limits
        )
        self._metrics_server = server.Server(self._handle_metrics, _limits)

    async def start(self) -> None:
        """Listen on the three ports."""
        cfg = self._app.cfg
        host = cfg.text('node', 'host')
        for http_server, name in (
            (self._heartbeat_server, 'admin_port'),
            (self._readiness_server, 'health_port'),
            (self._metrics_server, 'metrics_port'),
        ):
            await http_server.listen(host, cfg.integer('node', name))

    async def stop(self) -> None:
        """Close the three servers."""
        for http_server in (
            self._heartbeat_server,
            self._readiness_server,
            self._metrics_server,
        ):
            await http_server.stop(0.0)

    async def _handle_readiness_probe(
        self, request: messages.Request
    ) -> messages.Response:
        if request.path != READY_PATH:
            return messages.Response(404)
        is_ready = self._app.service('ingress').check_readiness()
        return messages.Response(200 if is_ready else 503)

    async def _handle_metrics(
        self, request: messages.Request
    ) -> messages.Response:
        if request.path != METRICS_PATH:
            return messages.Response(404)
        text = self._app.service('metrics').render()
        return messages.Response(
            200, (('Content-Type', 'text/plain'),), text.encode()
        )

    async def _handle_upstream_call(
        self, request: messages.Request
    ) -> messages.Response:
        query = parse.parse_qs(request.target.partition('?')[2])
        call = query.get('call', [''])[0]
        instance = query.get('of', [''])[0]
        if request.method != 'POST' or not instance:
            return messages.Response(404)
        worker = self._app.service('worker')
        if call == LEAVE_CALL:
            departure = worker.left(
                instance, _decode_leave_start(instance, request.body)
            )
            return messages.Response(await self._store_departure(departure))
        if call != HEARTBEAT_CALL:
            return messages.Response(404)
        try:
            announcement = decode_heartbeat(instance, request.body)
        except DECODE_ERRORS as exc:
            LOG.warning(
                'platform: can not decode a heartbeat of %s: %r',
                instance,
                exc,
            )
            return messages.Response(400)
        worker.apply_announcement(announcement)
        status = 200
        if announcement.draining:
            status = await self._store_departure(
                model.Departure(instance, announcement.started_ms)
            )
        return messages.Response(
            status, (('Content-Type', 'application/json'),), b'{}'
        )

    async def _store_departure(self, departure: model.Departure) -> int:
        """Return the status of the response to a report of a departure.

        It is an acknowledgement only once the departure is in the store.
        """
        if await self._app.service('departures').store(
            departure, STORE_TIMEOUT_S
        ):
            return 200
        LOG.warning(
            'platform: did not acknowledge that %s leaves, as the store does '
            'not have it',
            departure.instance,
        )
        return 503


def decode_heartbeat(instance: str, body: bytes) -> model.Announcement:
    """Return the announcement in a heartbeat.

    :param instance: instance of the upstream, from the request's query
    :raises: one of :data:`DECODE_ERRORS` if the body is not a heartbeat
    """
    heartbeat: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
    info = heartbeat['info']
    status = heartbeat['status']
    host, port = notation.parse_address(heartbeat['address'])
    return model.Announcement(
        instance=instance,
        service=notation.require_text(info['service']),
        version=notation.require_text(info['version']),
        host=host,
        port=port,
        slots=notation.require_count(info['slots'], MAX_SLOTS),
        draining=_DRAINING_BY_STATE[status['state']],
        sequence=notation.require_count(status['sequence']),
        started_ms=notation.require_count(heartbeat.get('born', 0)),
        warmup_s=notation.parse_duration_s(status.get('coldLeft', '0ms')),
    )


def decode_leave(body: bytes) -> int:
    """Return the start of the upstream in a leave notice.

    :returns: milliseconds since the epoch; 0 if the notice has no body
    :raises: one of :data:`DECODE_ERRORS` if the body is not a leave notice
    """
    if not body:
        return 0
    notice: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
    return notation.require_count(notice.get('born', 0))


def _limits() -> server.Limits:
    return server.Limits(body_bytes=MAX_BODY_BYTES)


def _decode_leave_start(instance: str, body: bytes) -> int:
    try:
        return decode_leave(body)
    except DECODE_ERRORS as exc:
        # The instance is in the query, and an upstream whose notice is refused
        # leaves anyway.
        LOG.warning(
            'platform: can not decode a leave notice of %s: %r', instance, exc
        )
        return 0


def setup(app: application.Application) -> None:
    """Register the service ``endpoints``."""
    app.add_service(
        'endpoints',
        Endpoints(app),
        after=(
            'metrics',
            'departures',
            'configuration',
            'worker',
            'exchange',
        ),
    )

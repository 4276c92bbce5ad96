"""HTTP server of the admin port: announcements, health, status, metrics."""

from __future__ import annotations

import ipaddress
import json
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from damaskpier import errors
from damaskpier.mesh import model
from damaskpier.operator import pages
from damaskpier import registry

if TYPE_CHECKING:
    from damaskpier import application

MAX_ANNOUNCEMENT_BYTES = 16 * 1024
# Limits of the time for a head, also between two requests, and for a body.
# Tornado's default is an hour for a head and no limit for a body.
IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 10.0
MAX_COUNT = 100_000  # slots or connections of an announcement


class _Announcement(msgspec.Struct):
    """Body of an announcement as the upstream sends it."""

    service: str
    version: str
    address: str
    port: int
    slots: int = 0
    connections: int = 0
    ready: bool = True
    draining: bool = False


class Admin(registry.Service):
    """Serves the admin port of the node; service ``admin``."""

    def __init__(self, app: application.Application) -> None:
        self.port = 0
        self.draining = False
        self._app = app
        self._server: httpserver.HTTPServer | None = None
        app.events.connect('node-draining', self._on_node_draining)

    async def start(self) -> None:
        """Listen on the admin port."""
        handler_args = {'admin': self, 'app': self._app}
        handlers = [
            ('/announce', _AnnounceHandler, handler_args),
            ('/healthz', _HealthHandler, handler_args),
            ('/metrics', _MetricsHandler, handler_args),
            ('/nodes', _NodesHandler, handler_args),
            ('/status', _StatusHandler, handler_args),
        ]
        self._server = httpserver.HTTPServer(
            web.Application(handlers),
            max_body_size=MAX_ANNOUNCEMENT_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        sockets = netutil.bind_sockets(
            self._app.cfg.integer('node', 'admin_port'),
            self._app.cfg.text('node', 'host'),
        )
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def _on_node_draining(self) -> None:
        self.draining = True


class _Handler(web.RequestHandler):
    """Base class of the handlers."""

    def initialize(self, admin: Admin, app: application.Application) -> None:
        self.admin = admin
        self.app = app

    def _send_json(self, content: Any, status: int = 200) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(content) + '\n')


class _AnnounceHandler(_Handler):
    def post(self) -> None:
        """Apply an announcement of the upstream."""
        announcement = parse_announcement(self.request.body)
        if isinstance(announcement, errors.Refusal):
            self._send_json({'error': announcement.reason}, 400)
            return
        self.app.service('upstream').apply_announcement(announcement)
        # The upstream calls other services through the node's HTTP port.
        frontend = self.app.service('frontend')
        cfg = self.app.cfg
        self._send_json(
            {
                'node': cfg.text('node', 'id'),
                'http': f'{cfg.text("node", "host")}:{frontend.port}',
                'draining': self.admin.draining,
            }
        )


class _HealthHandler(_Handler):
    def get(self) -> None:
        """Return whether the node accepts requests."""
        if self.admin.draining:
            self._send_json({'state': 'draining'}, 503)
        elif self.app.service('configuration').current() is None:
            self._send_json({'state': 'no configuration'}, 503)
        else:
            self._send_json({'state': 'ready'})


class _MetricsHandler(_Handler):
    def get(self) -> None:
        """Return the metrics in the text exposition format."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.app.service('metrics').render())


class _StatusHandler(_Handler):
    def get(self) -> None:
        """Return the status of the node."""
        self._send_json(status(self.app))


class _NodesHandler(_Handler):
    def get(self) -> None:
        """Return the nodes of the membership."""
        self._send_json(pages.nodes(self.app))


def parse_announcement(body: bytes) -> model.Announcement | errors.Refusal:
    """Return the announcement in a request body.

    :returns: the announcement, or a refusal that states why it is invalid
    """
    try:
        content = msgspec.json.decode(body, type=_Announcement)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return _invalid(str(exc))
    announcement = model.Announcement(**msgspec.structs.asdict(content))
    if not announcement.service or not announcement.version:
        return _invalid('service and version must not be empty')
    try:
        ipaddress.ip_address(announcement.address)
    except ValueError:
        return _invalid(f'{announcement.address!r} is not an IP address')
    if not 0 < announcement.port < 65536:
        return _invalid(f'port {announcement.port} is out of range')
    for number in (announcement.slots, announcement.connections):
        if not 0 <= number <= MAX_COUNT:
            return _invalid(f'{number} is out of range')
    return announcement


def status(app: application.Application) -> dict[str, Any]:
    """Return the status of the node for operators.

    :returns: content for JSON; parts that are not available are left out
    """
    snapshot = app.service('configuration').current()
    local = app.service('membership').local_record()
    content: dict[str, Any] = {
        'node': local.node_id,
        'region': local.region,
        'failure_domain': local.failure_domain,
        'draining': app.service('admin').draining,
        'version': 0 if snapshot is None else snapshot.version,
        'moves': [],
        'workers': {},
    }
    announcement = app.service('upstream').announcement
    if announcement is not None:
        content['upstream'] = announcement._asdict()
        content['load'] = app.service('upstream').admission.load._asdict()
    if snapshot is not None:
        content['moves'] = pages.moves(app)
        content['workers'] = {
            name: [
                {
                    'node': record.node_id,
                    'version': record.version,
                    'routable': record.routable,
                }
                for record in app.service('membership').workers(name)
            ]
            for name in snapshot.bundle.services
        }
    if app.has_service('tree'):
        content['tree'] = pages.tree(app)
    if app.has_service('leases'):
        names = ('fleet', f'region-{local.region}')
        held = app.service('leases').is_held
        content['leases'] = [name for name in names if held(name)]
    return content


def _invalid(reason: str) -> errors.Refusal:
    return errors.Refusal(errors.CALL_BAD_HEADER, reason)


def setup(app: application.Application) -> None:
    """Register the service ``admin``."""
    app.add_service('admin', Admin(app), after=('metrics', 'membership'))

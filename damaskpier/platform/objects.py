"""Conversion between objects of the platform's store and fleet types."""

from __future__ import annotations

import logging
from typing import Any
from typing import TYPE_CHECKING
import zlib

from damaskpier.fleet import model
from damaskpier.platform import notation
from damaskpier.teams import keys

if TYPE_CHECKING:
    from collections.abc import Iterable

LOG = logging.getLogger(__name__)

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
ORDER_KIND = 'rollouts'
NODE_KIND = 'nodes'
# The name of an object is that of the failure domain.
EVACUATION_KIND = 'evacuations'

# States in the status of an order, which operators read.
STATE_BY_PHASE = {
    model.Phase.RUNNING: 'running',
    model.Phase.DONE: 'completed',
    model.Phase.TAKEN_BACK: 'rolled_back',
}
_PHASE_BY_STATE = {word: phase for phase, word in STATE_BY_PHASE.items()}
# Requests with large bodies, which may run once at most.
_UPLOAD_KIND = 'upload'
# Field of a tenant with its keys.
_KEYS_FIELD = 'apiKeys'

Object = dict[str, Any]


def object_name(obj: Object) -> str:
    """Return an object's name."""
    return obj['metadata']['name']


def object_revision(obj: Object) -> int:
    """Return the revision of an object's last change."""
    return int(obj['metadata']['rev'])


class ConfigurationDecoder:
    """Decodes the configurations in objects, one after the other.

    Most rules and tenants are the same in the next configuration. Their routes
    and teams are used again, because decoding 800 rules takes most of the time
    in which a node applies a configuration. The keys of 2,000 tenants took 27
    ms to decode, and 1.4 ms if none has changed.
    """

    def __init__(self) -> None:
        # Rules of the previous configuration and their routes, by the host
        # and name of the rule.
        self._known: dict[tuple[str, str], tuple[Object, model.Route]] = {}
        # The same for teams, by name.
        self._known_teams: dict[str, tuple[Object, model.Team]] = {}

    def decode(self, obj: Object) -> model.Configuration:
        """Return the configuration in an object.

        The platform calls hosts listeners and services clusters.

        :raises KeyError, TypeError, ValueError: if the object is invalid
        """
        spec = obj['spec']
        limits = spec['limits']
        version = notation.parse_version(spec['version'])
        known: dict[tuple[str, str], tuple[Object, model.Route]] = {}
        routes = []
        for listener in spec['listeners']:
            host = listener['host']
            for rule in listener['routeRules']:
                route = self._route(host, rule)
                known[host, rule['name']] = rule, route
                routes.append(route)
        cfg = model.Configuration(
            version,
            tuple(routes),
            {
                cluster['name']: model.ServiceSpec(
                    cluster['name'],
                    int(cluster.get('maxConns', 0)),
                    str(cluster.get('healthPath', '')),
                    notation.parse_duration_s(cluster.get('coldStart', '0s')),
                    notation.require_number(cluster.get('coldPerS', 0)),
                )
                for cluster in spec['clusters']
            },
            model.CallerLimits(
                int(limits['maxHeaderBytes']),
                int(limits['maxBodyBytes']),
                notation.parse_duration_s(limits['headerTimeout']),
                notation.parse_duration_s(limits['idleTimeout']),
            ),
            self._decode_teams(spec.get('tenants') or ()),
        )
        self._known = known
        return cfg

    def _decode_teams(self, tenants: list[Object]) -> tuple[model.Team, ...]:
        decoded = []
        for tenant in tenants:
            known, team = self._known_teams.get(tenant['name'], (None, None))
            if tenant != known:
                team = _team_from_tenant(tenant)
            decoded.append((tenant, team))
        self._known_teams = {
            team.name: (tenant, team) for tenant, team in decoded
        }
        return tuple(team for _, team in decoded)

    def _route(self, host: str, rule: Object) -> model.Route:
        known_rule, route = self._known.get((host, rule['name']), (None, None))
        if rule == known_rule:
            return route
        return _route_from_rule(host, rule)


def order_from_object(obj: Object) -> model.Order:
    """Return the operator's order in an object, with its phase.

    :raises KeyError, TypeError, ValueError: if the object is invalid
    """
    spec = obj['spec']
    status = obj.get('status') or {}
    version = notation.require_text(spec['targetVersion'])
    phase = _PHASE_BY_STATE.get(status.get('state'), model.Phase.RUNNING)
    history = _history_from_status(status)
    # The status of an earlier order contains another version.
    stated_version = status.get('targetVersion')
    has_status = stated_version == version
    if not has_status:
        if isinstance(stated_version, str):
            history = history.after(stated_version, phase)
        phase = model.Phase.RUNNING
    meta = obj['metadata']
    # The creation revision distinguishes this order from one for the same
    # version that was deleted before.
    order_id = zlib.crc32(f'{version}/{meta["createRevision"]}'.encode())
    return model.Order(
        notation.require_text(spec['service']),
        order_id,
        version,
        notation.parse_duration_s(spec['duration']),
        phase,
        int(meta['rev']),
        has_status,
        history,
    )


def status_from_phase(order: model.Order, phase: model.Phase) -> Object:
    """Return the status of an order in a phase.

    Beside the platform's fields it contains the history, of which the status
    is the only copy that lasts.
    """
    status: Object = {
        'state': STATE_BY_PHASE[phase],
        'targetVersion': order.version,
    }
    if order.history.in_force:
        status['previousVersion'] = order.history.in_force
    if order.history.rejected:
        status['rejectedVersions'] = list(order.history.rejected)
    return status


def _history_from_status(status: Object) -> model.VersionHistory:
    """Return the history in a status, without what can not be read of it."""
    in_force = status.get('previousVersion')
    rejected = status.get('rejectedVersions')
    return model.VersionHistory(
        in_force if isinstance(in_force, str) else '',
        tuple(
            version
            for version in (rejected if isinstance(rejected, list) else ())
            if isinstance(version, str)
        ),
    )


def spec_from_node(node: model.NodeAddress) -> Object:
    """Return the specification of a node's entry in the directory."""
    return {
        'host': node.host,
        'port': node.port,
        'region': node.region,
        'failure_domain': node.failure_domain,
    }


def node_from_object(obj: Object) -> model.NodeAddress:
    """Return the entry of a node in the directory.

    :raises KeyError, TypeError, ValueError: if the object is invalid
    """
    spec = obj['spec']
    return model.NodeAddress(
        object_name(obj),
        notation.require_host(spec['host']),
        notation.require_port(spec['port']),
        notation.require_text(spec['region']),
        notation.require_text(spec['failure_domain']),
    )


def status_from_departures(departures: Iterable[model.Departure]) -> Object:
    """Return the status of a node's entry in the directory."""
    return {'departures': [departure._asdict() for departure in departures]}


def entry_from_object(
    node: model.NodeAddress, obj: Object
) -> model.DirectoryEntry:
    """Return a node's entry in the directory.

    What can not be read of it, which another writer has written, is left out.

    :param node: specification of the entry, as the node itself has written it
    """
    try:
        revision = object_revision(obj)
    except (KeyError, OverflowError, TypeError, ValueError):
        revision = 0
    status = obj.get('status')
    found = status.get('departures') if isinstance(status, dict) else None
    departures = []
    for item in found if isinstance(found, list) else ():
        try:
            departures.append(
                model.Departure(
                    notation.require_text(item['instance']),
                    notation.require_count(item['started_ms']),
                )
            )
        except (KeyError, TypeError, ValueError) as exc:
            LOG.error(
                'platform: invalid departure in the entry of %s: %.200r',
                node.node_id,
                exc,
            )
    return model.DirectoryEntry(node, revision, tuple(departures))


def _route_from_rule(host: str, rule: Object) -> model.Route:
    action = rule['action']
    # A rule has either a single destination or a list with weights.
    split = action.get('split') or [{'service': action['service']}]
    return model.Route(
        rule['name'],
        host.lower(),
        rule['match']['pathPrefix'],
        _route_kind(rule),
        tuple(
            model.WeightedService(
                destination['service'], float(destination.get('weight', 1))
            )
            for destination in split
        ),
        notation.parse_duration_s(action['timeout']),
        notation.parse_duration_s(rule['latencySlo']),
        int(action.get('maxAttempts', 1)),
        int(rule.get('priority', 0)),
        is_public=rule.get('noAuth') is True,
        allowed_regions=_texts(action, 'allowedRegions'),
    )


def _team_from_tenant(tenant: Object) -> model.Team:
    """Return a team, which the platform calls a tenant."""
    priority = tenant.get('priority')
    return model.Team(
        notation.require_text(tenant['name']),
        tuple(_digest_of_key(key) for key in _texts(tenant, _KEYS_FIELD)),
        None if priority is None else notation.require_count(priority),
        notation.require_number(tenant.get('ratePerS') or 0),
        notation.require_number(tenant.get('burst') or 0),
        _texts(tenant, 'allowedRegions'),
    )


def may_contain_keys(encoded: bytes) -> bool:
    """Return whether encoded objects may contain keys of teams."""
    # A name of a field may be written with escapes.
    return _KEYS_FIELD.encode() in encoded or b'\\u' in encoded


def _digest_of_key(key: str) -> bytes:
    """Return the digest of a key.

    :raises ValueError: if the key is not Unicode text
    """
    try:
        octets = key.encode()
    except UnicodeEncodeError:
        # The message of the original exception would contain the key.
        raise ValueError('a key with a lone surrogate') from None
    return keys.digest_of_key(octets)


def _texts(holder: Object, name: str) -> tuple[str, ...]:
    """Return the strings in a list; an absent list is empty.

    :raises TypeError: if it is not a list of strings
    """
    found = holder.get(name) or []
    if not isinstance(found, list):
        # The characters of a string would be taken for its items.
        raise TypeError(f'{type(found).__name__} instead of a list')
    return tuple(notation.require_text(text) for text in found)


def _route_kind(rule: Object) -> model.RouteKind:
    kind = rule['routeKind']
    if kind == _UPLOAD_KIND:
        return model.RouteKind.NON_IDEMPOTENT
    try:
        return model.RouteKind(kind)
    except ValueError:
        # Running a request once at most is right for all kinds, whereas the
        # whole configuration would be refused without this route.
        LOG.warning(
            'platform: route %r has the unknown kind %r; its requests are '
            'not repeated',
            rule['name'],
            kind,
        )
        return model.RouteKind.NON_IDEMPOTENT

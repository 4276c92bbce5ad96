"""Objects of the platform's store as types of the fleet."""

from __future__ import annotations

from typing import Any
import zlib

from damaskpier.fleet import model
from damaskpier.platform import notation

CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
ORDER_KIND = 'rollouts'
NODE_KIND = 'nodes'

# Words that operators read in the status of an order.
STATE_BY_PHASE = {
    model.Phase.RUNNING: 'running',
    model.Phase.DONE: 'completed',
    model.Phase.TAKEN_BACK: 'rolled_back',
}
_PHASE_BY_STATE = {word: phase for phase, word in STATE_BY_PHASE.items()}

Object = dict[str, Any]


def object_name(obj: Object) -> str:
    """Return an object's name."""
    return obj['metadata']['name']


def configuration_from_object(obj: Object) -> model.Configuration:
    """Return the configuration that the operator wrote.

    :raises KeyError, TypeError, ValueError: if it can not be read
    """
    spec = obj['spec']
    limits = spec['limits']
    return model.Configuration(
        notation.parse_version(spec['version']),
        tuple(
            _route_from_rule(listener['host'], rule)
            for listener in spec['listeners']
            for rule in listener['routeRules']
        ),
        {
            cluster['name']: model.ServiceSpec(
                cluster['name'],
                int(cluster.get('maxConns', 0)),
                str(cluster.get('healthPath', '')),
            )
            for cluster in spec['clusters']
        },
        model.CallerLimits(
            int(limits['maxHeaderBytes']),
            int(limits['maxBodyBytes']),
            notation.parse_duration_s(limits['headerTimeout']),
            notation.parse_duration_s(limits['idleTimeout']),
        ),
    )


def order_from_object(obj: Object) -> model.Order:
    """Return an operator's order with its state.

    :raises KeyError, TypeError, ValueError: if it can not be read
    """
    spec = obj['spec']
    status = obj.get('status') or {}
    version = spec['targetVersion']
    phase = model.Phase.RUNNING
    # A status of an earlier order names another version.
    has_status = status.get('targetVersion') == version
    if has_status:
        phase = _PHASE_BY_STATE.get(status.get('state'), model.Phase.RUNNING)
    meta = obj['metadata']
    # The revision of creation tells an order from a later one of the same
    # version after the object was deleted.
    order_id = zlib.crc32(f'{version}/{meta["createRevision"]}'.encode())
    return model.Order(
        spec['service'],
        order_id,
        version,
        notation.parse_duration_s(spec['duration']),
        phase,
        int(meta['rev']),
        has_status,
    )


def status_from_phase(order: model.Order, phase: model.Phase) -> Object:
    """Return the status that tells an order's state."""
    return {'state': STATE_BY_PHASE[phase], 'targetVersion': order.version}


def spec_from_node(node: model.NodeAddress) -> Object:
    """Return what the directory holds of a node."""
    return {
        'host': node.host,
        'port': node.port,
        'region': node.region,
        'failure_domain': node.failure_domain,
    }


def node_from_object(obj: Object) -> model.NodeAddress:
    """Return a node of the directory.

    :raises KeyError, TypeError, ValueError: if it can not be read
    """
    spec = obj['spec']
    return model.NodeAddress(
        object_name(obj),
        spec['host'],
        int(spec['port']),
        spec['region'],
        spec['failure_domain'],
    )


def _route_from_rule(host: str, rule: Object) -> model.Route:
    action = rule['action']
    # A single destination stands in place of a list with weights.
    split = action.get('split') or [{'service': action['service']}]
    return model.Route(
        rule['name'],
        host.lower(),
        rule['match']['pathPrefix'],
        model.RouteKind(rule['routeKind']),
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
    )

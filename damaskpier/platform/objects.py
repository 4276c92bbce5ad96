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
PHASE_WORDS = {
    model.Phase.RUNNING: 'running',
    model.Phase.DONE: 'completed',
    model.Phase.TAKEN_BACK: 'rolled_back',
}
_PHASES = {word: phase for phase, word in PHASE_WORDS.items()}

Object = dict[str, Any]


def name_of(obj: Object) -> str:
    """Return an object's name."""
    return obj['metadata']['name']


def read_configuration(obj: Object) -> model.Configuration:
    """Return the configuration that the operator wrote.

    :raises KeyError, TypeError, ValueError: if it can not be read
    """
    spec = obj['spec']
    limits = spec['limits']
    return model.Configuration(
        notation.version_number(spec['version']),
        tuple(
            _read_route(listener['host'], rule)
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
            notation.seconds(limits['headerTimeout']),
            notation.seconds(limits['idleTimeout']),
        ),
    )


def read_order(obj: Object) -> model.Order:
    """Return an operator's order with its state.

    :raises KeyError, TypeError, ValueError: if it can not be read
    """
    spec = obj['spec']
    status = obj.get('status') or {}
    version = spec['targetVersion']
    phase = model.Phase.RUNNING
    # A status of an earlier order names another version.
    is_shown = status.get('targetVersion') == version
    if is_shown:
        phase = _PHASES.get(status.get('state'), model.Phase.RUNNING)
    meta = obj['metadata']
    # The revision of creation tells an order from a later one of the same
    # version after the object was deleted.
    order_id = zlib.crc32(f'{version}/{meta["createRevision"]}'.encode())
    return model.Order(
        spec['service'],
        order_id,
        version,
        notation.seconds(spec['duration']),
        phase,
        int(meta['rev']),
        is_shown,
    )


def order_status(order: model.Order, phase: model.Phase) -> Object:
    """Return the status that tells an order's state."""
    return {'state': PHASE_WORDS[phase], 'targetVersion': order.version}


def node_spec(node: model.NodeAddress) -> Object:
    """Return what the directory holds of a node."""
    return {
        'host': node.host,
        'port': node.port,
        'region': node.region,
        'failure_domain': node.failure_domain,
    }


def read_node(obj: Object) -> model.NodeAddress:
    """Return a node of the directory.

    :raises KeyError, TypeError, ValueError: if it can not be read
    """
    spec = obj['spec']
    return model.NodeAddress(
        name_of(obj),
        spec['host'],
        int(spec['port']),
        spec['region'],
        spec['failure_domain'],
    )


def _read_route(host: str, rule: Object) -> model.Route:
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
                part['service'], float(part.get('weight', 1))
            )
            for part in split
        ),
        notation.seconds(action['timeout']),
        notation.seconds(rule['latencySlo']),
        int(action.get('maxAttempts', 1)),
        int(rule.get('priority', 0)),
    )

"""Content of the admin pages of a node that the command line reads."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpier import application


def tree(app: application.Application) -> dict[str, Any]:
    """Return the part ``tree`` of the status page.

    It holds the position of this node, the size, the lowest version and the
    refusals of its subtree, and the bytes sent and received on tree links.
    """
    service = app.service('tree')
    status = service.status()
    sent, received = service.counters.total_bytes()
    return {
        'role': status.role,
        'path': list(status.path),
        'parent': status.parent,
        'children': list(status.children),
        'subtree': status.subtree,
        'lowest_version': status.lowest_version,
        'refusals': status.refusals,
        'bytes_sent': sent,
        'bytes_received': received,
    }


def moves(app: application.Application) -> list[dict[str, Any]]:
    """Return the moves of the active configuration with their states.

    A move that has no state yet has only the fields of its definition.
    """
    snapshot = app.service('configuration').current()
    if snapshot is None:
        return []
    found = []
    for move in snapshot.head.moves:
        content = move._asdict()
        state = app.service('rollouts').state(move.move)
        if state is not None:
            content.update(state._asdict())
            content['phase'] = state.phase.value
        found.append(content)
    return found


def nodes(app: application.Application) -> list[dict[str, Any]]:
    """Return the records of all nodes that are not gone.

    ``config_version`` is a lower bound of the configuration version of a
    node in this subtree; it is omitted for nodes elsewhere in the tree.
    """
    versions = _version_lower_bounds(app)
    found = []
    for record in app.service('membership').nodes():
        content = record._asdict()
        if record.node_id in versions:
            content['config_version'] = versions[record.node_id]
        found.append(content)
    return found


def _version_lower_bounds(app: application.Application) -> dict[str, int]:
    # Children report only the lowest version below them, so that this is the
    # bound for each node of their subtrees.
    versions = {}
    for child in app.service('tree').children:
        versions.update(dict.fromkeys(child.subtree_ids, child.lowest_version))
        versions[child.peer.node_id] = child.applied_version
    local = app.service('membership').local_record().node_id
    versions[local] = app.service('configuration').version()
    return versions

"""Choices of workers, and bytes between nodes, by distance."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from google.protobuf import message

from damaskpier import logs
from damaskpier.rpc import mesh_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier.mesh import model
    from damaskpier import metrics

LOG = logs.get_logger(__name__)

# Names of the tiers of distance in metrics: the same failure domain, the same
# region, and another region.
NAMES = ('domain', 'region', 'other_region')
# Interval of the log line about requests that leave their failure domain.
LOG_INTERVAL_S = 10.0
# Replies to gossip that are shorter contain no configuration.
MIN_CONFIG_BYTES = 1024


def tier(local: model.NodeRecord, record: model.NodeRecord) -> int:
    """Return the tier of distance from the local node to another one."""
    if record.failure_domain == local.failure_domain:
        return 0
    return 1 if record.region == local.region else 2


class ByteCounts:
    """Counts bytes of HTTP between nodes by distance and purpose.

    Each connection is counted in both directions by the node that opened it,
    so that the sum over all nodes contains each byte once. The metric is
    ``peer_bytes``.

    :param metrics_service: counts the bytes
    :param local: returns the record of the local node
    """

    def __init__(
        self,
        metrics_service: metrics.Metrics,
        local: Callable[[], model.NodeRecord],
    ) -> None:
        self._metrics = metrics_service
        self._local = local

    def add(self, record: model.NodeRecord, purpose: str, size: int) -> None:
        """Add bytes to or from a node."""
        if not size:
            return
        distance = NAMES[tier(self._local(), record)]
        self._metrics.increment(
            'peer_bytes', size, distance=distance, purpose=purpose
        )

    def add_gossip(
        self,
        record: model.NodeRecord,
        sent: int,
        gossip: mesh_pb2.Gossip,
        received: int,
        reply: bytes = b'',
    ) -> None:
        """Add a message to a node and its reply.

        :param sent: bytes that were sent
        :param received: bytes that were received
        :param reply: body of the reply
        """
        config_bytes = len(gossip.config) + _config_bytes(reply)
        self.add(record, 'configuration', config_bytes)
        self.add(record, 'gossip', sent + received - config_bytes)


def _config_bytes(reply: bytes) -> int:
    if len(reply) < MIN_CONFIG_BYTES:
        return 0
    try:
        return len(mesh_pb2.Gossip.FromString(reply).config)
    except message.DecodeError:
        # The receiver of the reply logs it.
        return 0


class ChoiceCounts:
    """Counts the workers that were chosen by distance and reason.

    The metric is ``worker_choices``. While requests leave their failure
    domain, a log line tells every 10 s why.

    :param metrics_service: counts the choices
    :param clock: returns the time in seconds
    """

    def __init__(
        self, metrics_service: metrics.Metrics, clock: Callable[[], float]
    ) -> None:
        self._metrics = metrics_service
        self._clock = clock
        self._logged_at = clock()
        self._counts: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )

    def record(self, chosen_tier: int, reason: str) -> None:
        """Record the choice of a worker.

        :param chosen_tier: distance of the worker
        :param reason: why no nearer one was chosen; see
            :meth:`damaskpier.fleet.selector.Selector.reason`
        """
        self._metrics.increment(
            'worker_choices', distance=NAMES[chosen_tier], reason=reason
        )
        self._counts[chosen_tier, reason] += 1
        now = self._clock()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._log(now)

    def _log(self, now: float) -> None:
        parts = [
            f'{count} to {NAMES[chosen_tier]} ({reason})'
            for (chosen_tier, reason), count in sorted(self._counts.items())
            if chosen_tier
        ]
        if parts:
            LOG.info(
                'router: of %d attempts in %.0f s, these left the failure '
                'domain: %s',
                sum(self._counts.values()),
                now - self._logged_at,
                ', '.join(parts),
            )
        self._counts.clear()
        self._logged_at = now

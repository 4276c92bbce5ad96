"""Configuration that the node has applied, and updates for its peers."""

from __future__ import annotations

import collections
import logging
from typing import TYPE_CHECKING

from damaskpier.bundle import check
from damaskpier.bundle import codec
from damaskpier.bundle import delta as delta_module
from damaskpier.bundle import model
from damaskpier import errors
from damaskpier import registry
from damaskpier.rpc import mesh_pb2

if TYPE_CHECKING:
    from damaskpier import application

LOG = logging.getLogger(__name__)

# Previous versions kept as bases of deltas; a peer with an older version is
# sent the whole bundle.
MAX_DELTA_VERSIONS = 32


class ActiveConfiguration(registry.Service):
    """Hold the applied snapshot, and previous bundles as bases of deltas.

    Emits ``config-applied(snapshot)`` and
    ``config-refused(version, refusal)``.
    """

    def __init__(self, app: application.Application) -> None:
        self._app = app
        self._current: model.Snapshot | None = None
        self._previous_bundles: collections.OrderedDict[int, model.Bundle] = (
            collections.OrderedDict()
        )
        self._updates_by_base: dict[int, mesh_pb2.ConfigUpdate] = {}

    def current(self) -> model.Snapshot | None:
        """Return the applied snapshot; None before the first one."""
        return self._current

    def version(self) -> int:
        """Return the applied version; 0 before the first one."""
        return self._current.version if self._current else 0

    def apply(self, snapshot: model.Snapshot) -> bool | errors.Refusal:
        """Apply a snapshot as a whole if it is newer and valid.

        :returns: True, or the refusal; the node then keeps its version
        """
        version = snapshot.version
        if version <= self.version():
            return errors.Refusal(
                errors.CONFIG_OLDER,
                f'version {version} is not above {self.version()}',
            )
        refusal = check.check_snapshot(snapshot)
        if refusal is not None:
            return self.refuse(version, refusal)
        if self._current is not None:
            self._previous_bundles[self._current.version] = (
                self._current.bundle
            )
            while len(self._previous_bundles) > MAX_DELTA_VERSIONS:
                self._previous_bundles.popitem(last=False)
        self._updates_by_base.clear()
        self._current = snapshot
        LOG.info('config: version %d was applied', version)
        self._app.events.emit('config-applied', snapshot)
        return True

    def refuse(self, version: int, refusal: errors.Refusal) -> errors.Refusal:
        """Log a refused newer version and emit ``config-refused``.

        :returns: the refusal
        """
        LOG.error(
            'config: version %d was refused, version %d stays applied: %s',
            version,
            self.version(),
            refusal,
        )
        self._app.events.emit('config-refused', version, refusal)
        return refusal

    def update_since(self, base: int) -> mesh_pb2.ConfigUpdate | None:
        """Return the update from a peer's version to the applied one.

        The update is a delta if the base is among the previous 32 versions,
        and the whole bundle otherwise.

        :param base: configuration version of the peer
        :returns: None if the peer's version is not older
        """
        if self._current is None or base >= self._current.version:
            return None
        if base not in self._previous_bundles:
            base = 0
        update = self._updates_by_base.get(base)
        if update is None:
            update = self._updates_by_base[base] = self._make_update(base)
        return update

    def apply_update(
        self, update: mesh_pb2.ConfigUpdate
    ) -> bool | errors.Refusal:
        """Apply an update from a peer.

        :returns: True, or a refusal; after ``CONFIG_DIGEST`` the caller
            requests the whole bundle
        """
        if update.version <= self.version():
            return errors.Refusal(
                errors.CONFIG_OLDER,
                f'version {update.version} is not above {self.version()}',
            )
        if update.base and update.base != self.version():
            return errors.Refusal(
                errors.CONFIG_DIGEST,
                f'update from version {update.base} to {update.version} '
                f'does not fit version {self.version()}',
            )
        try:
            snapshot = self._decode_update(update)
        except errors.BundleError as exc:
            refusal = errors.Refusal(exc.code, exc.reason)
            return self.refuse(update.version, refusal)
        if snapshot is None:
            return errors.Refusal(
                errors.CONFIG_DIGEST,
                f'update from version {update.base} to {update.version} '
                'gives another digest',
            )
        return self.apply(snapshot)

    def _make_update(self, base: int) -> mesh_pb2.ConfigUpdate:
        head, bundle = self._current
        old = self._previous_bundles[base] if base else model.Bundle({}, {})
        change = delta_module.compute_delta(old, bundle)
        return mesh_pb2.ConfigUpdate(
            version=head.version,
            base=base,
            head=codec.encode_head(head),
            resources=delta_module.encode_resources(change.changed),
            removed=change.removed,
            digest=head.digest,
        )

    def _decode_update(
        self, update: mesh_pb2.ConfigUpdate
    ) -> model.Snapshot | None:
        head = codec.decode_head(update.head)
        if head.version != update.version:
            raise errors.BundleError(
                errors.BUNDLE_SCHEMA,
                f'version {update.version} has the head of {head.version}',
            )
        base = model.Bundle({}, {})
        if update.base:
            base = self._current.bundle
        change = delta_module.Delta(
            delta_module.decode_resources(update.resources),
            tuple(update.removed),
        )
        bundle = delta_module.apply_delta(base, change)
        if update.base and codec.bundle_digest(bundle) != head.digest:
            return None
        return model.Snapshot(head, bundle)


def setup(app: application.Application) -> None:
    """Register the service ``configuration``."""
    app.add_service('configuration', ActiveConfiguration(app))

"""Service of the upstream beside a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpier.fleet import model


class LocalService:
    """Service of the upstream, by the settings and by its announcements.

    The address of an upstream that has ended may go to one of another service.
    The settings and the announcement of the new upstream arrive in any order;
    an announcement of the old one may arrive after both.

    :param name: service in the settings
    """

    def __init__(self, name: str) -> None:
        self.name = name
        # Upstreams of other services that started up to this time, in
        # milliseconds since the epoch, have ended.
        self._ended_until_ms = -1

    def configure(self, name: str, now_ms: int) -> None:
        """Apply a change of the service in the settings.

        :param now_ms: time of the change since the epoch
        """
        self.name = name
        self._ended_until_ms = now_ms

    def has_ended(self, announcement: model.Announcement) -> bool:
        """Return whether an announcement is of an upstream that has ended."""
        return (
            announcement.service != self.name
            and announcement.started_ms <= self._ended_until_ms
        )

    def announced(self, announcement: model.Announcement) -> None:
        """Apply an announcement that is not stale."""
        self.name = announcement.service

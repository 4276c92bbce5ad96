"""Pace that the local upstream reports in its answers and health checks."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from damaskpier import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier.fleet import header_codec
    from damaskpier.http1 import messages as http_messages
    from damaskpier.traffic import messages

# Time constant of the mean pace. It averages over the changes of the pace,
# which come several times a second, and follows a worker that becomes slow.
MEAN_PACE_TIME_S = 2.0

LOG = logs.get_logger(__name__)


class ReportedPace:
    """Latest pace of the local upstream.

    :param codec: decodes the load in a response
    :param clock: returns the time in seconds
    """

    def __init__(
        self, codec: header_codec.HeaderCodec, clock: Callable[[], float]
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._pace: float | None = None
        self._mean_pace = 1.0
        self._reported_at = 0.0
        self._is_unreadable = False

    def record(self, response: http_messages.Response) -> None:
        """Record the pace in a response of the upstream.

        The first of several loads in a row that can not be read is logged.
        """
        try:
            load = self._codec.decode_load(response)
        except ValueError as exc:
            if not self._is_unreadable:
                LOG.warning(
                    'worker: ignored the load of the upstream: %s', exc
                )
            self._is_unreadable = True
            return
        if load is None:
            return
        self._is_unreadable = False
        # A worker that has reported a pace is at its usual one if it leaves
        # the pace out.
        if load.pace is not None or self._pace is not None:
            self._set(load.pace or 1.0)

    def _set(self, pace: float) -> None:
        now = self._clock()
        if self._pace is None:
            self._mean_pace = pace
        else:
            age_s = now - self._reported_at
            weight = 1.0 - math.exp(-age_s / MEAN_PACE_TIME_S)
            self._mean_pace += weight * (pace - self._mean_pace)
        self._pace = pace
        self._reported_at = now

    def reset(self) -> None:
        """Forget the pace, because the upstream is another instance."""
        self._pace = None

    def add_to(self, load: messages.Load) -> messages.Load:
        """Return a load with the pace and its age."""
        if self._pace is None:
            return load
        return load._replace(
            pace=self._pace,
            pace_age_s=self._clock() - self._reported_at,
            mean_pace=self._mean_pace,
        )

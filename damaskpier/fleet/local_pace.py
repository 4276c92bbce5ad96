"""Pace of the local worker: what is known of it, and the limits by it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from damaskpier.capacity import pace
from damaskpier import logs
from damaskpier.traffic import pace_limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier.fleet import model
    from damaskpier.http1 import messages
    from damaskpier import metrics
    from damaskpier.traffic import admission

LOG = logs.get_logger(__name__)


class LocalPace:
    """Applies the pace of the local worker to its admission.

    ``limits`` are the limits on the start of its requests.

    :param admission_: admission of the worker
    :param clock: returns the time in seconds
    """

    def __init__(
        self,
        app: application.Application,
        admission_: admission.Admission,
        clock: Callable[[], float],
    ) -> None:
        self._app = app
        self._admission = admission_
        self._clock = clock
        self._cold = pace.ColdPace()
        self._is_cold = False
        self.limits = (pace_limits.ColdLimit(self._cold, clock),)
        if app.cfg.flag('fleet', 'adaptive_pace'):
            # Without a configuration, the rate of the worker is unknown and
            # may be any, so that only what is allowed beyond it is sent.
            self._cold.set_bound(
                clock(), app.cfg.number('fleet', 'cold_slack')
            )
        app.events.connect('config-applied', self._config_applied)

    def register_gauges(self, metrics_service: metrics.Metrics) -> None:
        """Register the gauges of the pace."""
        metrics_service.register_gauge(
            'upstream_is_cold',
            lambda: float(self._cold.is_cold(self._clock())),
        )

    def announced(self, announcement: model.Announcement) -> None:
        """Apply an announcement of the worker."""
        self._learn(announcement.warmup_s)

    def checked(self, health: model.Health) -> None:
        """Apply a health check of the worker, which may not say it is cold."""
        if health.warmup_s < math.inf:
            self._learn(health.warmup_s)

    def removed(self) -> None:
        """Apply that the worker was removed from routing."""
        self._learn(math.inf)

    def failed(self, failure: messages.Failure) -> None:
        """Apply a request that got no answer.

        The worker may have crashed and may run again, cold, before it
        announces itself.
        """
        if not failure.timed_out:
            self._learn(math.inf)

    def record_check(self) -> None:
        """Record that a health check is sent to the worker."""
        self._cold.record_start(self._clock())

    def _config_applied(self, cfg: model.Configuration) -> None:
        spec = cfg.services.get(self._app.cfg.text('node', 'service'))
        bound_per_s = None
        if spec is not None and spec.cold_rate_per_s > 0:
            bound_per_s = spec.cold_rate_per_s * self._app.cfg.number(
                'fleet', 'cold_over'
            ) + self._app.cfg.number('fleet', 'cold_slack')
        self._cold.set_bound(self._clock(), bound_per_s)
        self._update()

    def _learn(self, cold_s: float) -> None:
        self._cold.learn(self._clock(), cold_s)
        self._update()

    def _update(self) -> None:
        """Log a change of the worker's state and use a pace that has ended."""
        is_cold = self._cold.is_cold(self._clock())
        if is_cold != self._is_cold:
            self._is_cold = is_cold
            LOG.info(
                'pace: the upstream %s',
                f'is cold or unknown and gets {self._cold.bound_per_s:.1f} '
                'requests/s at most'
                if is_cold
                else 'is warm',
            )
        if not is_cold:
            self._admission.start_waiting()

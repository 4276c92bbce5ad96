"""Pace of the local worker: what is known of it, and the limits by it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from damaskpier.capacity import adaptive_pace
from damaskpier.capacity import pace
from damaskpier.http1 import messages
from damaskpier import logs
from damaskpier.traffic import pace_limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from damaskpier import application
    from damaskpier import config
    from damaskpier.fleet import header_codec
    from damaskpier.fleet import model
    from damaskpier import metrics
    from damaskpier.traffic import admission

LOG = logs.get_logger(__name__)

# Reason of a pace that begins with a new start of the worker.
STARTED = 'has started'


class LocalPace:
    """Applies the pace of the local worker to its admission.

    ``limits`` are the limits on the start of its requests.

    :param admission_: admission of the worker
    :param codec: reads the pace that the worker reports
    :param clock: returns the time in seconds
    :param started_ms: start of this node since the epoch
    """

    def __init__(
        self,
        app: application.Application,
        admission_: admission.Admission,
        codec: header_codec.HeaderCodec,
        clock: Callable[[], float],
        started_ms: float,
    ) -> None:
        self._app = app
        self._admission = admission_
        self._codec = codec
        self._clock = clock
        self._started_ms = started_ms
        self._service = app.cfg.text('node', 'service')
        self._cold = pace.ColdPace()
        self._is_cold = False
        # Whether the configuration names a bound, which takes the place of the
        # adaptive pace.
        self._has_named_bound = False
        self._adaptive = adaptive_pace.AdaptivePace()
        self._usual = adaptive_pace.UsualTimes()
        self._is_enabled = app.cfg.flag('fleet', 'adaptive_pace')
        # Instance and start of the latest announcement, and whether it was
        # cold.
        self._known: tuple[str, int] | None = None
        self._was_cold = False
        self._was_removed = False
        self._is_evacuated = False
        self.limits = (
            pace_limits.ColdPaceLimit(self._cold, clock),
            pace_limits.AdaptivePaceLimit(self._adaptive, clock),
        )
        if self._is_enabled:
            # Without a configuration, the rate of the worker is unknown and
            # may be any, so that only what is allowed beyond it is sent.
            self._cold.set_bound(
                clock(), app.cfg.number('fleet', 'cold_slack')
            )
        app.events.connect('config-applied', self._config_applied)
        app.events.connect('settings-changed', self._settings_changed)

    def register_gauges(self, metrics_service: metrics.Metrics) -> None:
        """Register the gauges of the pace."""
        metrics_service.register_gauge(
            'upstream_is_cold',
            lambda: float(self._cold.is_cold(self._clock())),
        )
        metrics_service.register_gauge(
            'upstream_pace_limit',
            lambda: self._adaptive.count if self._adaptive.is_active else 0.0,
        )

    def announced(self, announcement: model.Announcement) -> None:
        """Apply an announcement of the worker."""
        reason = self._begin_reason(announcement)
        self._known = announcement.instance, announcement.started_ms
        self._was_cold = 0 < announcement.warmup_s < math.inf
        self._was_removed = False
        self._learn(announcement.warmup_s)
        if reason:
            self._begin(announcement, reason)

    def checked(self, health: model.Health) -> None:
        """Apply a health check of the worker, which may not say it is cold."""
        if health.warmup_s < math.inf:
            self._learn(health.warmup_s)

    def removed(self) -> None:
        """Apply that the worker was removed from routing."""
        self._was_removed = True
        self._learn(math.inf)

    def service_changed(self, service: str) -> None:
        """Apply that the worker is one of another service."""
        self._service = service
        self._usual = adaptive_pace.UsualTimes()
        cfg = self._app.service('configuration').current()
        if cfg is not None:
            self._config_applied(cfg)

    def evacuated(
        self, is_evacuated: bool, announcement: model.Announcement | None
    ) -> None:
        """Apply whether the failure domain of the worker is evacuated.

        A worker that comes back may have become cold, so that what it said
        before does not count.
        """
        was_evacuated, self._is_evacuated = self._is_evacuated, is_evacuated
        if was_evacuated and not is_evacuated:
            self._learn(math.inf)
            if announcement is not None:
                self._begin(announcement, 'is back from an evacuation')

    def record_outcome(
        self,
        route: str,
        outcome: messages.Response | messages.Failure,
        took_s: float,
    ) -> None:
        """Apply the outcome of a request that was sent to the worker.

        A worker that breaks a connection may have crashed and may run again,
        cold, before it announces itself.
        """
        usual_s = self._usual.get(route) or self._usual_elsewhere_s()
        if isinstance(outcome, messages.Failure):
            if not outcome.timed_out:
                self._learn(math.inf)
            self._record(route, took_s, usual_s, is_bad=True)
            return
        if self._codec.is_other_instance(outcome):
            return
        reported = self._reported_pace(outcome)
        if reported is not None:
            # Only workers of the deployments for hard load report a pace.
            self._is_enabled = True
            if usual_s is not None:
                usual_s *= max(1.0, reported)
        is_refusal = self._codec.is_not_run(outcome)
        # Errors of callers are answered at once, and say nothing of the time
        # that work takes.
        if is_refusal or outcome.status < 400:
            self._record(route, took_s, usual_s, is_bad=is_refusal)
        if outcome.status < 300 and not self._adaptive.is_active:
            self._usual.record(route, took_s)

    def record_check(self) -> None:
        """Record that a health check is sent to the worker."""
        self._cold.record_start(self._clock())

    def _begin_reason(self, announcement: model.Announcement) -> str:
        """Return why the pace begins, or an empty text if it does not."""
        known = self._known
        if announcement.warmup_s == 0 and not self._was_removed:
            # The worker knows itself to be warm. Before the first requests of
            # a fleet, there are no answers that would end the limit.
            return ''
        # A health check does not tell the start, so that the first heartbeat
        # after it is of the same one.
        if known not in (
            (announcement.instance, announcement.started_ms),
            (announcement.instance, 0),
        ):
            # A worker that runs for longer than this node may have been in
            # use all the time.
            if announcement.started_ms > self._started_ms:
                return STARTED
        elif self._was_removed:
            return 'is back'
        if 0 < announcement.warmup_s < math.inf and not self._was_cold:
            return 'is cold'
        return ''

    def _reported_pace(self, response: messages.Response) -> float | None:
        try:
            load = self._codec.decode_load(response)
        except ValueError:
            # ReportedPace logs it.
            return None
        return None if load is None else load.pace

    def _begin(self, announcement: model.Announcement, reason: str) -> None:
        """Begin the adaptive pace unless a bound is named."""
        if self._is_enabled and not self._has_named_bound:
            self._adaptive.begin(
                self._clock(),
                announcement.slots,
                is_new_start=reason == STARTED,
            )
            LOG.info(
                'pace: %s %s; %d requests run at first, %d slots',
                announcement.instance,
                reason,
                self._adaptive.count,
                announcement.slots,
            )

    def _usual_elsewhere_s(self) -> float | None:
        """Return the usual time of the service's workers; None if unknown."""
        if not self._adaptive.is_active:
            return None
        return self._app.service('router').mean_latency_s(self._service)

    def _record(
        self, route: str, took_s: float, usual_s: float | None, *, is_bad: bool
    ) -> None:
        if not self._adaptive.is_active:
            return
        before = self._adaptive.count
        self._adaptive.record_answer(
            self._clock(), route, took_s, usual_s, is_bad
        )
        if self._adaptive.count < before:
            LOG.info(
                'pace: %d requests run at most after a request of %s took '
                '%d ms, usually %d ms%s',
                self._adaptive.count,
                route,
                took_s * 1000,
                (usual_s or 0.0) * 1000,
                ', or was refused or broken off' if is_bad else '',
            )
        if not self._adaptive.is_active:
            LOG.info('pace: the limit has ended')
        self._admission.start_waiting()

    def _settings_changed(self, before: config.Settings) -> None:
        is_enabled = self._app.cfg.flag('fleet', 'adaptive_pace')
        if is_enabled != before.flag('fleet', 'adaptive_pace'):
            self._is_enabled = is_enabled
        cfg = self._app.service('configuration').current()
        if cfg is not None:
            self._config_applied(cfg)

    def _config_applied(self, cfg: model.Configuration) -> None:
        spec = cfg.services.get(self._service)
        bound_per_s = None
        if spec is not None and spec.cold_rate_per_s > 0:
            bound_per_s = spec.cold_rate_per_s * self._app.cfg.number(
                'fleet', 'cold_over'
            ) + self._app.cfg.number('fleet', 'cold_slack')
        self._has_named_bound = bound_per_s is not None
        if self._has_named_bound:
            self._adaptive.is_active = False
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

"""Conversion of evidence, trip notices and states to and from messages."""

from __future__ import annotations

from collections.abc import Iterable

from damaskpier.rollout import model
from damaskpier.rpc import mesh_pb2

PPM = 1_000_000


def cell_to_message(cell: model.EvidenceCell) -> mesh_pb2.EvidenceCell:
    """Return the message for an evidence cell."""
    return mesh_pb2.EvidenceCell(
        move=cell.move,
        route=cell.route,
        failure_domain=cell.failure_domain,
        window=cell.window,
        old=_counts_to_message(cell.old),
        new=_counts_to_message(cell.new),
        share_ppm=round(cell.share * PPM),
        worker=cell.worker,
    )


def cell_from_message(message: mesh_pb2.EvidenceCell) -> model.EvidenceCell:
    """Return the evidence cell of a message."""
    return model.EvidenceCell(
        message.move,
        message.route,
        message.failure_domain,
        message.window,
        _counts_from_message(message.old),
        _counts_from_message(message.new),
        message.share_ppm / PPM,
        message.worker,
    )


def trip_to_message(notice: model.TripNotice) -> mesh_pb2.LocalTrip:
    """Return the message for a trip notice."""
    return mesh_pb2.LocalTrip(
        move=notice.move,
        route=notice.route,
        node_id=notice.node_id,
        reason=notice.reason,
    )


def trip_from_message(message: mesh_pb2.LocalTrip) -> model.TripNotice:
    """Return the trip notice of a message."""
    return model.TripNotice(
        message.move, message.route, message.node_id, message.reason
    )


def delta_to_message(
    cells: Iterable[model.EvidenceCell],
    trips: Iterable[model.TripNotice] = (),
) -> mesh_pb2.EvidenceDelta:
    """Return the message with evidence and trip notices for the parent."""
    return mesh_pb2.EvidenceDelta(
        cells=[cell_to_message(cell) for cell in cells],
        trips=[trip_to_message(notice) for notice in trips],
    )


def state_to_message(state: model.MoveState) -> mesh_pb2.MoveState:
    """Return the message for the state of a move."""
    return mesh_pb2.MoveState(
        move=state.move,
        epoch=state.epoch,
        seq=state.seq,
        phase=state.phase.value,
        shares=[
            mesh_pb2.RouteShare(route=route, share=share)
            for route, share in sorted(state.shares.items())
        ],
        reason=state.reason,
        result=state.result,
        in_force=state.in_force,
        rejected=state.rejected,
    )


def state_from_message(message: mesh_pb2.MoveState) -> model.MoveState:
    """Return the state of a move from a message.

    :raises ValueError: if the phase is unknown
    """
    return model.MoveState(
        message.move,
        message.epoch,
        message.seq,
        model.Phase(message.phase),
        {item.route: item.share for item in message.shares},
        message.reason,
        message.result,
        message.in_force,
        tuple(message.rejected),
    )


def _counts_to_message(
    counts: model.VersionCounts,
) -> mesh_pb2.VersionCounts:
    buckets = sorted(counts.latency)
    return mesh_pb2.VersionCounts(
        requests=counts.requests,
        failures=counts.failures,
        latency_bucket=buckets,
        latency_count=[counts.latency[bucket] for bucket in buckets],
    )


def _counts_from_message(
    message: mesh_pb2.VersionCounts,
) -> model.VersionCounts:
    return model.VersionCounts(
        message.requests,
        message.failures,
        dict(zip(message.latency_bucket, message.latency_count, strict=True)),
    )

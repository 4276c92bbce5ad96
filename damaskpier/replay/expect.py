"""Expected outcomes of a trace, and their comparison with a simulation."""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
from typing import Literal
from typing import TYPE_CHECKING

import msgspec

from damaskpier import errors

if TYPE_CHECKING:
    from damaskpier.replay import simulation
    from damaskpier.replay import trace


class ShareBound(msgspec.Struct, forbid_unknown_fields=True):
    """Bound on the share of the new version before a time."""

    t: float
    share: float


class MoveExpectation(msgspec.Struct, forbid_unknown_fields=True):
    """Expected outcome of one move; None where nothing is expected.

    Times are in seconds of the trace. ``max_worse`` bounds the requests that
    were worse on the new version than they had been on the old one;
    ``none_after`` is the last time of a request on the new version.
    """

    verdict: Literal['done', 'taken_back', 'open']
    decided_by: float | None = None
    max_worse: int | None = None
    none_after: float | None = None
    max_share_before: ShareBound | None = None


class Expectation(msgspec.Struct, forbid_unknown_fields=True):
    """Expected outcome of a trace."""

    moves: dict[str, MoveExpectation]


def read(path: pathlib.Path) -> Expectation:
    """Read an expected outcome.

    :raises ReplayError: if the file cannot be read or is invalid
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Expectation)
    except OSError as exc:
        raise _bad_expectation(path, exc.strerror) from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise _bad_expectation(path, exc) from exc


def _bad_expectation(path: pathlib.Path, reason: object) -> errors.ReplayError:
    return errors.ReplayError(
        errors.REPLAY_BAD_EXPECTATION, f'{path}: {reason}'
    )


def check_move_names(expected: Expectation, recorded: trace.Trace) -> None:
    """Check that the moves of an expected outcome are in the trace.

    :raises ReplayError: if a move is missing
    """
    names = {line.move for line in recorded.moves}
    for name in expected.moves:
        if name not in names:
            raise errors.ReplayError(
                errors.REPLAY_BAD_EXPECTATION,
                f'no move {name!r} in the trace',
            )


def find_mismatches(
    expected: Expectation, moves: dict[str, simulation.SimulatedMove]
) -> list[str]:
    """Return a line for each part of the expected outcome that is missed."""
    return [
        f'{errors.REPLAY_MISMATCH}: {name}: {line}'
        for name, wanted in expected.moves.items()
        for line in _differences(wanted, moves[name])
    ]


def _differences(
    wanted: MoveExpectation, move: simulation.SimulatedMove
) -> Iterator[str]:
    if move.verdict != wanted.verdict:
        yield f'verdict is {move.verdict}, not {wanted.verdict}'
    if (
        wanted.decided_by is not None
        and move.verdict != 'open'
        and move.verdict_t > wanted.decided_by
    ):
        yield f'decided at {move.verdict_t:.3f}, after {wanted.decided_by:g}'
    if wanted.max_worse is not None and move.worse > wanted.max_worse:
        yield f'{move.worse} requests are worse, over {wanted.max_worse}'
    if (
        wanted.none_after is not None
        and move.last_new is not None
        and move.last_new > wanted.none_after
    ):
        yield (
            f'last request on the new version at {move.last_new:.3f}, '
            f'after {wanted.none_after:g}'
        )
    bound = wanted.max_share_before
    if bound is not None:
        for at, share in move.share_history:
            if at < bound.t and share > bound.share:
                yield (
                    f'share is {share:g} at {at:.3f}, over {bound.share:g} '
                    f'before {bound.t:g}'
                )
                break

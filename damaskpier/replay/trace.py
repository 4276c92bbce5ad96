"""Parsing and strict validation of recorded traces."""

from __future__ import annotations

import math
import pathlib
from typing import Any
from typing import NamedTuple

import msgspec

from damaskpier import errors


class Answer(NamedTuple):
    """Answer of a version, at shares of the traffic from ``min_share`` on.

    ``ms`` is the time to the answer in milliseconds.
    """

    min_share: float
    status: int
    ms: float


Answers = tuple[Answer, ...]


class Route(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Route of a trace."""

    route: str
    service: str
    repeatable: bool


class _Line(
    msgspec.Struct,
    forbid_unknown_fields=True,
    tag_field='ev',
    kw_only=True,
    gc=False,
):
    t: float


class Header(_Line, tag='trace'):
    """First line of a trace."""

    name: str
    failure_domains: list[str]
    nodes: int
    routes: list[Route]


class MoveLine(_Line, tag='move', rename={'old': 'from', 'new': 'to'}):
    """Signed-off move of a service, to be finished by the time ``by``."""

    move: str
    service: str
    old: str
    new: str
    by: float


class _SingleAnswer(msgspec.Struct, forbid_unknown_fields=True, gc=False):
    status: int
    ms: float


class _AnswerFromShare(msgspec.Struct, forbid_unknown_fields=True, gc=False):
    min_share: float
    status: int
    ms: float


class RequestLine(_Line, tag='request'):
    """Request with the answer that each version would have given."""

    route: str
    node: int
    outcome: dict[str, _SingleAnswer | list[_AnswerFromShare]]
    key: str = ''


class EndLine(_Line, tag='end'):
    """Last line of a trace."""


class Request(NamedTuple):
    """Validated request of a trace; ``outcome`` is by version."""

    t: float
    route: str
    node: int
    outcome: dict[str, Answers]


class Trace(NamedTuple):
    """Validated trace; ``events`` has the moves and requests in order."""

    header: Header
    events: list[MoveLine | Request]
    end: float

    @property
    def moves(self) -> list[MoveLine]:
        """Return the moves in the order of the trace."""
        return [event for event in self.events if type(event) is MoveLine]


_DECODER = msgspec.json.Decoder(Header | MoveLine | RequestLine | EndLine)


def trace_error(
    source: str, number: int, reason: object
) -> errors.ReplayError:
    """Return the error for a line of a trace.

    :param number: number of the line from 1 on, 0 for the whole file
    """
    return errors.ReplayError(
        errors.REPLAY_BAD_TRACE, f'{source}:{number}: {reason}'
    )


def read(path: pathlib.Path) -> Trace:
    """Read and validate a trace.

    :raises ReplayError: if the file cannot be read or a line is invalid
    """
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise trace_error(str(path), 0, exc.strerror) from exc
    return _Reader(str(path)).read(data)


class _Reader:
    def __init__(self, source: str) -> None:
        self._source = source
        self._number = 0
        self._routes: dict[str, str] = {}

    def read(self, data: bytes) -> Trace:
        lines = data.split(b'\n')
        if lines and not lines[-1]:
            lines.pop()
        decoded = self._decode(lines)
        header = decoded[0]
        self._check_header(header)
        moves = self._check_moves(decoded)
        events: list[MoveLine | Request] = []
        current = {service: own[0] for service, own in reversed(moves.items())}
        known_versions = {
            service: {v for move in own for v in (move.old, move.new)}
            for service, own in moves.items()
        }
        for self._number, line in enumerate(decoded[1:-1], 2):
            if type(line) is MoveLine:
                current[line.service] = line
                events.append(line)
                continue
            service = self._routes.get(line.route)
            if service is None:
                self._fail(f'no route {line.route!r}')
            if not 0 <= line.node < header.nodes:
                self._fail(f'node {line.node} is out of range')
            events.append(
                Request(
                    line.t,
                    line.route,
                    line.node,
                    self._check_outcome(
                        line.outcome,
                        current.get(service),
                        known_versions.get(service),
                    ),
                )
            )
        return Trace(header, events, decoded[-1].t)

    def _fail(self, reason: object) -> None:
        raise trace_error(self._source, self._number, reason)

    def _decode(self, lines: list[bytes]) -> list[Any]:
        decoded = []
        decode = _DECODER.decode
        last = 0.0
        for self._number, text in enumerate(lines, 1):
            try:
                line = decode(text)
            except (msgspec.DecodeError, UnicodeDecodeError) as exc:
                self._fail(exc)
            if line.t < last:
                self._fail(f't goes back from {last:g} to {line.t:g}')
            last = line.t
            if (type(line) is Header) is not (self._number == 1):
                self._fail('the first line, and no other, is the header')
            if decoded and type(decoded[-1]) is EndLine:
                self._fail('the trace goes on after its end')
            decoded.append(line)
        if not decoded or type(decoded[-1]) is not EndLine:
            self._fail('the trace has no end')
        return decoded

    def _check_header(self, header: Header) -> None:
        self._number = 1
        if header.nodes < 1:
            self._fail('nodes is below 1')
        domains = header.failure_domains
        if not domains or len(set(domains)) != len(domains):
            self._fail('failure_domains is empty or has a name twice')
        for route in header.routes:
            if route.route in self._routes:
                self._fail(f'route {route.route!r} is declared twice')
            self._routes[route.route] = route.service

    def _check_moves(self, decoded: list[Any]) -> dict[str, list[MoveLine]]:
        moves: dict[str, list[MoveLine]] = {}
        names = set()
        services = set(self._routes.values())
        for self._number, line in enumerate(decoded, 1):
            if type(line) is not MoveLine:
                continue
            if line.move in names:
                self._fail(f'move {line.move!r} is declared twice')
            if line.service not in services:
                self._fail(f'no route of service {line.service!r}')
            if line.old == line.new:
                self._fail('a move needs two different versions')
            if line.by <= line.t:
                self._fail('by is not after the start of the move')
            names.add(line.move)
            moves.setdefault(line.service, []).append(line)
        return moves

    def _check_outcome(
        self,
        outcome: dict[str, Any],
        move: MoveLine | None,
        known_versions: set[str] | None,
    ) -> dict[str, Answers]:
        if move is not None:
            for version in (move.old, move.new):
                if version not in outcome:
                    self._fail(f'no outcome of version {version!r}')
        elif not outcome:
            self._fail('no outcome of any version')
        checked = {}
        for version, value in outcome.items():
            if known_versions is not None and version not in known_versions:
                self._fail(f'unknown version {version!r}')
            checked[version] = self._check_answers(version, value)
        return checked

    def _check_answers(
        self, version: str, value: _SingleAnswer | list[_AnswerFromShare]
    ) -> Answers:
        if type(value) is _SingleAnswer:
            answers = (Answer(0.0, value.status, value.ms),)
        else:
            answers = tuple(
                sorted(Answer(s.min_share, s.status, s.ms) for s in value)
            )
        if not answers or answers[0].min_share > 0.0:
            self._fail(f'no outcome of version {version!r} at share 0')
        for min_share, status, ms in answers:
            if not 0.0 <= min_share <= 1.0:
                self._fail(f'min_share {min_share:g} is not in 0..1')
            if not 100 <= status <= 599:
                self._fail(f'status {status} is not in 100..599')
            if not 0.0 <= ms < math.inf:
                self._fail(f'ms {ms:g} is not a time')
        return answers


def answer_at(answers: Answers, share: float) -> Answer:
    """Return the answer that applies at a share of the traffic, 0..1."""
    if len(answers) == 1:
        return answers[0]
    found = answers[0]
    for answer in answers:
        if answer.min_share <= share:
            found = answer
    return found

"""Values of the stored objects: JSON objects with a ``write_id``.

An answer of the platform can be lost after the write took effect. The writer
then reads the object and compares the ``write_id``, so each write of an
object has a new one. Objects whose key is the digest of their content need
none, because they are never written with other content.
"""

from __future__ import annotations

from typing import Any
import uuid

import msgspec


def new_write_id() -> str:
    """Return an identifier that no other write has."""
    return uuid.uuid4().hex


def encode(value: dict[str, Any]) -> bytes:
    """Return canonical JSON: sorted keys, no spaces, UTF-8."""
    return msgspec.json.encode(value, order='sorted')


def decode(data: bytes) -> dict[str, Any]:
    """Return the JSON object that a value contains.

    :raises ValueError: if the value is no JSON object
    """
    value = msgspec.json.decode(data)
    if not isinstance(value, dict):
        raise ValueError('the value is not a JSON object')
    return value


def write_id_of(data: bytes) -> str | None:
    """Return the ``write_id`` of a value, None if it has none."""
    try:
        write_id = decode(data).get('write_id')
    except ValueError:
        return None
    return write_id if isinstance(write_id, str) else None


def is_same_write(stored: bytes, written: bytes) -> bool:
    """Return whether a stored value is the result of a certain write."""
    if stored == written:
        return True
    write_id = write_id_of(written)
    return write_id is not None and write_id == write_id_of(stored)

"""Digests that tell whether a request comes again."""

from __future__ import annotations

from xxhash import xxh3_128


def digest_request(team: str, method: str, target: str, body: bytes) -> str:
    """Return the digest of a request: the same for each request of a team with the same content.

    :param target: the path and query.
    :returns: 32 hexadecimal digits.
    """
    digest = xxh3_128()
    for field in (team.encode(), method.encode(), target.encode(), body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()

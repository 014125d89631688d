"""Who is who on the link: one key that all share, or an Ed25519 key for each and a list of the others'.

Reads key files; the proofs themselves are pure.
"""

from __future__ import annotations

import hmac
import os
import stat
from collections.abc import Mapping
from hashlib import sha256
from typing import Protocol

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

LEAST_SHARED = 16  # bytes


class BadKeyError(ValueError):
    """A key can't be used; says which file or name, and why."""


class Identity(Protocol):
    """What proves who one is, and sees whether another's proof is good."""

    @property
    def method(self) -> str: ...

    def prove(self, role: bytes, transcript: bytes) -> bytes: ...

    def accepts(self, name: str, role: bytes, transcript: bytes, proof: bytes) -> bool: ...


class SharedKey:
    """HMAC-SHA256 (RFC 2104) by a key that all have. Any of them can pass for any other."""

    method = "shared"

    def __init__(self, key: bytes) -> None:
        if len(key) < LEAST_SHARED:
            raise BadKeyError(f"a shared key of {len(key)} bytes; {LEAST_SHARED} are the least")
        self._key = key

    def prove(self, role: bytes, transcript: bytes) -> bytes:
        return hmac.digest(self._key, b"larkweir " + role + b"\0" + transcript, sha256)

    def accepts(self, name: str, role: bytes, transcript: bytes, proof: bytes) -> bool:
        return hmac.compare_digest(self.prove(role, transcript), proof)


class OwnKey:
    """Ed25519 (RFC 8032). `peers` holds the public keys of those that are spoken to, by name."""

    method = "ed25519"

    def __init__(self, private: bytes, peers: Mapping[str, bytes]) -> None:
        try:
            self._private = Ed25519PrivateKey.from_private_bytes(private)
            self._peers = {name: Ed25519PublicKey.from_public_bytes(key) for name, key in peers.items()}
        except ValueError as problem:
            raise BadKeyError(f"not an Ed25519 key: {problem}") from None

    def prove(self, role: bytes, transcript: bytes) -> bytes:
        return self._private.sign(b"larkweir " + role + b"\0" + transcript)

    def accepts(self, name: str, role: bytes, transcript: bytes, proof: bytes) -> bool:
        key = self._peers.get(name)
        if key is None:
            return False
        try:
            key.verify(proof, b"larkweir " + role + b"\0" + transcript)
        except InvalidSignature:
            return False
        return True


def read_key(path: str) -> bytes:
    """A key's bytes out of a file of hexadecimal digits; BadKeyError if others could read it too."""
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            text = file.read(4096)
    except OSError as problem:
        raise BadKeyError(f"{path}: {problem.strerror}") from None
    if stat.S_IMODE(mode) & 0o077:
        raise BadKeyError(f"{path}: others may read it; its mode must be 0600")
    return parse_key(text.decode("latin-1"), path)


def parse_key(text: str, where: str) -> bytes:
    try:
        return bytes.fromhex(text.strip())
    except ValueError:
        raise BadKeyError(f"{where}: not hexadecimal") from None


def new_private_key() -> bytes:
    return Ed25519PrivateKey.generate().private_bytes_raw()


def public_key(private: bytes) -> bytes:
    try:
        return Ed25519PrivateKey.from_private_bytes(private).public_key().public_bytes_raw()
    except ValueError as problem:
        raise BadKeyError(f"not an Ed25519 key: {problem}") from None


def identity(shared_file: str | None, private_file: str | None, peers: Mapping[str, str]) -> Identity:
    """Out of files; `peers` are public keys in hexadecimal digits, by name. BadKeyError."""
    if shared_file is not None:
        return SharedKey(read_key(shared_file))
    if private_file is None:
        raise BadKeyError("no key file is named")
    keys = {name: parse_key(text, f"the public key of {name}") for name, text in peers.items()}
    return OwnKey(read_key(private_file), keys)

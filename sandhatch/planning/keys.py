"""Authentication on the planning link: one shared key, or an Ed25519 key for each peer.

Reads key files; proofs are computed without I/O. Sources: HMAC (RFC 2104), Ed25519 (RFC 8032),
docs/planning-link.md.
"""

from __future__ import annotations

import hmac
import os
import stat
from collections.abc import Mapping
from hashlib import sha256
from pathlib import Path
from typing import Protocol

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from sandhatch.planning.errors import BadKeyError

MIN_SHARED_KEY_BYTES = 16
MAX_KEY_FILE_BYTES = 4_096
OTHERS_PERMISSIONS = 0o077  # mode bits of a key file that must not be set

# Context string of a proof. It is on the wire, named by docs/planning-link.md: it keeps the project's former
# name, since peers of both names must accept each other.
PROOF_CONTEXT = b"larkweir "


class Identity(Protocol):
    """Proves this peer's name to others, and verifies theirs."""

    @property
    def method(self) -> str:
        """Name of the method, which both peers must use."""

    def prove(self, role: bytes, transcript: bytes) -> bytes:
        """A proof of this peer's key over a handshake's transcript."""

    def accepts(self, name: str, role: bytes, transcript: bytes, proof: bytes) -> bool:
        """Whether a proof is that of the peer of this name."""


def _covered_bytes(role: bytes, transcript: bytes) -> bytes:
    """What a proof covers."""
    return PROOF_CONTEXT + role + b"\0" + transcript


class SharedKey:
    """HMAC-SHA256 with a key that all peers have; any of them can pass for any other."""

    method = "shared"

    def __init__(self, key: bytes) -> None:
        """Use this key.

        Raises:
            BadKeyError: The key is too short.
        """
        if len(key) < MIN_SHARED_KEY_BYTES:
            raise BadKeyError(f"a shared key of {len(key)} bytes; {MIN_SHARED_KEY_BYTES} are the least")
        self._key = key

    def prove(self, role: bytes, transcript: bytes) -> bytes:
        """A proof of the key over a handshake's transcript."""
        return hmac.digest(self._key, _covered_bytes(role, transcript), sha256)

    def accepts(self, name: str, role: bytes, transcript: bytes, proof: bytes) -> bool:  # noqa: ARG002 - part of the protocol
        """Whether a proof was made with the key; the name is not covered by it."""
        return hmac.compare_digest(self.prove(role, transcript), proof)


class OwnKey:
    """Ed25519 with this peer's private key and the public keys of the others."""

    method = "ed25519"

    def __init__(self, private: bytes, peers: Mapping[str, bytes]) -> None:
        """Use these keys.

        Args:
            private: This peer's private key.
            peers: Public keys of the other peers, by name.

        Raises:
            BadKeyError: One of them is not an Ed25519 key.
        """
        try:
            self._private = Ed25519PrivateKey.from_private_bytes(private)
            self._peers = {name: Ed25519PublicKey.from_public_bytes(key) for name, key in peers.items()}
        except ValueError as problem:
            raise BadKeyError(f"not an Ed25519 key: {problem}") from None

    def prove(self, role: bytes, transcript: bytes) -> bytes:
        """A signature over a handshake's transcript."""
        return self._private.sign(_covered_bytes(role, transcript))

    def accepts(self, name: str, role: bytes, transcript: bytes, proof: bytes) -> bool:
        """Whether a proof is a signature of the peer of this name."""
        key = self._peers.get(name)
        if key is None:
            return False
        try:
            key.verify(proof, _covered_bytes(role, transcript))
        except InvalidSignature:
            return False
        return True


def read_key(path: str) -> bytes:
    """Read a key from a file of hexadecimal digits.

    Raises:
        BadKeyError: The file cannot be read, is readable by other users, or holds no key.
    """
    try:
        with Path(path).open("rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            text = file.read(MAX_KEY_FILE_BYTES)
    except OSError as problem:
        raise BadKeyError(f"{path}: {problem.strerror}") from None
    if stat.S_IMODE(mode) & OTHERS_PERMISSIONS:
        raise BadKeyError(f"{path}: others may read it; its mode must be 0600")
    return parse_key(text.decode("latin-1"), path)


def parse_key(text: str, where: str) -> bytes:
    """A key from hexadecimal digits.

    Args:
        text: The digits; white space around them is ignored.
        where: Where they are from, for the error.

    Raises:
        BadKeyError: The text is not hexadecimal.
    """
    try:
        return bytes.fromhex(text.strip())
    except ValueError:
        raise BadKeyError(f"{where}: not hexadecimal") from None


def new_private_key() -> bytes:
    """A new Ed25519 private key."""
    return Ed25519PrivateKey.generate().private_bytes_raw()


def public_key(private: bytes) -> bytes:
    """The public key of an Ed25519 private key.

    Raises:
        BadKeyError: The private key is not an Ed25519 key.
    """
    try:
        return Ed25519PrivateKey.from_private_bytes(private).public_key().public_bytes_raw()
    except ValueError as problem:
        raise BadKeyError(f"not an Ed25519 key: {problem}") from None


def identity(shared_file: str | None, private_file: str | None, peers: Mapping[str, str]) -> Identity:
    """This peer's identity, from key files.

    Args:
        shared_file: File of a shared key; used if it is given.
        private_file: File of an Ed25519 private key.
        peers: Public keys of the other peers in hexadecimal digits, by name.

    Raises:
        BadKeyError: No file is given, or a key cannot be used.
    """
    if shared_file is not None:
        return SharedKey(read_key(shared_file))
    if private_file is None:
        raise BadKeyError("no key file is named")
    keys = {name: parse_key(text, f"the public key of {name}") for name, text in peers.items()}
    return OwnKey(read_key(private_file), keys)

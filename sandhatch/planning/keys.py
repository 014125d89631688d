"""Authentication on the planning link: one shared key, or an Ed25519 key for each peer.

Key files are read here; proofs are computed without I/O. Sources: HMAC (RFC 2104), Ed25519 (RFC 8032),
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
FORBIDDEN_MODE_BITS = 0o077  # mode bits of group and others, which a key file must not have

# Context string of a proof, part of the wire protocol (docs/planning-link.md). It contains the project's
# former name, since peers of both names must accept each other.
PROOF_CONTEXT = b"larkweir "


class Identity(Protocol):
    """Proves this peer's identity to other peers, and verifies theirs."""

    @property
    def method(self) -> str:
        """Name of the authentication method, which must be the same at both peers."""

    def prove(self, role: bytes, transcript: bytes) -> bytes:
        """Return a signature or MAC over the role and the handshake's transcript.

        It proves to the other peer that this peer holds its key.
        """

    def accepts(self, name: str, role: bytes, transcript: bytes, proof: bytes) -> bool:
        """Whether a proof was made by the peer with this name."""


def _covered_bytes(role: bytes, transcript: bytes) -> bytes:
    """The bytes that a proof covers."""
    return PROOF_CONTEXT + role + b"\0" + transcript


class SharedKeyIdentity:
    """HMAC-SHA256 with a key that all peers share; any peer can impersonate any other."""

    method = "shared"

    def __init__(self, key: bytes) -> None:
        """Use this key.

        Raises:
            BadKeyError: The key is too short.
        """
        if len(key) < MIN_SHARED_KEY_BYTES:
            raise BadKeyError(
                f"shared key has {len(key)} bytes; at least {MIN_SHARED_KEY_BYTES} are required"
            )
        self._key = key

    def prove(self, role: bytes, transcript: bytes) -> bytes:
        """Compute a proof of the key over a handshake's transcript."""
        return hmac.digest(self._key, _covered_bytes(role, transcript), sha256)

    def accepts(self, name: str, role: bytes, transcript: bytes, proof: bytes) -> bool:  # noqa: ARG002 - part of the protocol
        """Whether a proof was made with the shared key; the proof does not cover the name."""
        return hmac.compare_digest(self.prove(role, transcript), proof)


class Ed25519Identity:
    """Ed25519 with this peer's private key and the public keys of the other peers."""

    method = "ed25519"

    def __init__(self, private: bytes, peers: Mapping[str, bytes]) -> None:
        """Use these keys.

        Args:
            private: This peer's private key.
            peers: Public keys of the other peers, by name.

        Raises:
            BadKeyError: One of the keys is not an Ed25519 key.
        """
        try:
            self._private = Ed25519PrivateKey.from_private_bytes(private)
            self._peers = {name: Ed25519PublicKey.from_public_bytes(key) for name, key in peers.items()}
        except ValueError as error:
            raise BadKeyError(f"not an Ed25519 key: {error}") from None

    def prove(self, role: bytes, transcript: bytes) -> bytes:
        """Compute a signature over a handshake's transcript."""
        return self._private.sign(_covered_bytes(role, transcript))

    def accepts(self, name: str, role: bytes, transcript: bytes, proof: bytes) -> bool:
        """Whether a proof is a valid signature of the peer with this name."""
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
    except OSError as error:
        raise BadKeyError(f"{path}: {error.strerror}") from None
    if stat.S_IMODE(mode) & FORBIDDEN_MODE_BITS:
        raise BadKeyError(f"{path}: readable by other users; the mode of a key file must be 0600")
    return parse_key(text.decode("latin-1"), path)


def parse_key(text: str, source: str) -> bytes:
    """Parse a key from hexadecimal digits.

    Args:
        text: The digits; white space around them is ignored.
        source: Origin of the text, for the error message.

    Raises:
        BadKeyError: The text is not hexadecimal.
    """
    try:
        return bytes.fromhex(text.strip())
    except ValueError:
        raise BadKeyError(f"{source}: key is not hexadecimal") from None


def new_private_key() -> bytes:
    """Generate an Ed25519 private key."""
    return Ed25519PrivateKey.generate().private_bytes_raw()


def public_key(private: bytes) -> bytes:
    """The public key of an Ed25519 private key.

    Raises:
        BadKeyError: The private key is not an Ed25519 key.
    """
    try:
        return Ed25519PrivateKey.from_private_bytes(private).public_key().public_bytes_raw()
    except ValueError as error:
        raise BadKeyError(f"not an Ed25519 key: {error}") from None


def load_identity(shared_file: str | None, private_file: str | None, peers: Mapping[str, str]) -> Identity:
    """Load this peer's identity from key files.

    Args:
        shared_file: Path of a shared key; takes precedence over the private key.
        private_file: Path of an Ed25519 private key.
        peers: Public keys of the other peers in hexadecimal digits, by name.

    Raises:
        BadKeyError: No file is given, or a key cannot be used.
    """
    if shared_file is not None:
        return SharedKeyIdentity(read_key(shared_file))
    if private_file is None:
        raise BadKeyError("no key file is configured: expected a shared key or a private key")
    keys = {name: parse_key(text, f"public key of {name}") for name, text in peers.items()}
    return Ed25519Identity(read_key(private_file), keys)

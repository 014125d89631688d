"""Key files and the context string of proofs."""

from __future__ import annotations

import hmac
from hashlib import sha256
from pathlib import Path

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from sandhatch.planning.errors import BadKeyError
from sandhatch.planning.keys import (
    Ed25519Identity,
    SharedKeyIdentity,
    load_identity,
    new_private_key,
    parse_key,
    public_key,
    read_key,
)


@pytest.fixture
def key_file(tmp_path: Path) -> Path:
    """A key file of mode 0600."""
    path = tmp_path / "key"
    path.write_text("ab" * 32 + "\n")
    path.chmod(0o600)
    return path


def test_a_key_is_read_from_a_file_of_mode_0600(key_file: Path) -> None:
    assert read_key(str(key_file)) == b"\xab" * 32


def test_a_key_file_readable_by_other_users_is_rejected(key_file: Path) -> None:
    key_file.chmod(0o640)
    with pytest.raises(BadKeyError, match="readable by other users; the mode of a key file must be 0600"):
        read_key(str(key_file))


def test_a_missing_key_file_is_rejected_with_the_reason(key_file: Path) -> None:
    with pytest.raises(BadKeyError, match="No such file"):
        read_key(str(key_file) + "2")


def test_the_authentication_method_follows_from_which_key_file_is_given(key_file: Path) -> None:
    peers = {"p": public_key(new_private_key()).hex()}
    assert load_identity(str(key_file), None, {}).method == "shared"
    assert load_identity(None, str(key_file), peers).method == "ed25519"


def test_malformed_keys_are_rejected_with_the_reason() -> None:
    with pytest.raises(BadKeyError, match="key is not hexadecimal"):
        parse_key("zz", "source")
    with pytest.raises(BadKeyError, match="at least 16 are required"):
        SharedKeyIdentity(b"short")
    with pytest.raises(BadKeyError, match="not an Ed25519 key"):
        Ed25519Identity(b"short", {})


def test_proofs_cover_the_context_string_of_the_wire_protocol() -> None:
    covered = b"larkweir planner\0transcript"
    key = b"k" * 32
    assert SharedKeyIdentity(key).prove(b"planner", b"transcript") == hmac.digest(key, covered, sha256)
    private = new_private_key()
    proof = Ed25519Identity(private, {}).prove(b"planner", b"transcript")
    Ed25519PublicKey.from_public_bytes(public_key(private)).verify(proof, covered)

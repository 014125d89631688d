"""Key files and the context of proofs."""

from __future__ import annotations

import hmac
from hashlib import sha256
from pathlib import Path

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from sandhatch.planning.errors import BadKeyError
from sandhatch.planning.keys import (
    OwnKey,
    SharedKey,
    identity,
    new_private_key,
    parse_key,
    public_key,
    read_key,
)


def test_keys_are_read_from_files_of_mode_0600_and_errors_name_file_and_reason(tmp_path: Path) -> None:
    path = tmp_path / "key"
    path.write_text("ab" * 32 + "\n")
    path.chmod(0o640)
    with pytest.raises(BadKeyError, match="others may read it; its mode must be 0600"):
        read_key(str(path))
    path.chmod(0o600)
    assert read_key(str(path)) == b"\xab" * 32
    assert identity(str(path), None, {}).method == "shared"
    assert identity(None, str(path), {"p": public_key(new_private_key()).hex()}).method == "ed25519"
    with pytest.raises(BadKeyError, match="No such file"):
        read_key(str(path) + "2")
    with pytest.raises(BadKeyError, match="not hexadecimal"):
        parse_key("zz", "it")
    with pytest.raises(BadKeyError, match="16 are the least"):
        SharedKey(b"short")
    with pytest.raises(BadKeyError, match="not an Ed25519 key"):
        OwnKey(b"short", {})


def test_proofs_cover_the_context_string_that_is_on_the_wire() -> None:
    covered = b"larkweir planner\0transcript"
    key = b"k" * 32
    assert SharedKey(key).prove(b"planner", b"transcript") == hmac.digest(key, covered, sha256)
    private = new_private_key()
    proof = OwnKey(private, {}).prove(b"planner", b"transcript")
    Ed25519PublicKey.from_public_bytes(public_key(private)).verify(proof, covered)

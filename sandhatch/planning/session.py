"""One connection between a forwarder and a planner as a state machine: bytes in, events and bytes out.

A frame is a four-byte big-endian length followed by that many bytes. The first three frames are a handshake:
each peer proves its key over the transcript, which includes the X25519 keys (RFC 7748). All later frames are
encrypted with ChaCha20-Poly1305 (RFC 8439), with the frame's number in its direction as the nonce: a
repeated, dropped or inserted frame fails authentication, in this session or another.

No I/O, no clock. Source: docs/planning-link.md.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import sha256
from typing import NamedTuple, NoReturn

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.asymmetric.x25519 import X25519PrivateKey, X25519PublicKey
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from sandhatch.planning.errors import BadMessageError, SessionError, SupersededEpochError
from sandhatch.planning.keys import Identity
from sandhatch.planning.messages import (
    MAX_NOTE_CHARACTERS,
    VERSION,
    Bye,
    Handshake,
    Hello,
    Message,
    Proof,
    Welcome,
    WelcomeBody,
    decode,
    decode_body,
    decode_handshake,
    encode,
    encode_handshake,
)

LENGTH_BYTES = 4
MAX_HANDSHAKE_BYTES = 2_048  # maximum frame size before the peer is authenticated
MAX_FRAME_BYTES = 1 << 20
TAG_BYTES = 16
NONCE_BYTES = 12
KEY_BYTES = 32
MAX_SHOWN_METHOD_CHARACTERS = 16
VERSIONS = (VERSION,)

# Roles in proofs, part of the wire protocol (docs/planning-link.md).
FORWARDER = b"forwarder"
PLANNER = b"planner"

# HKDF info of the session keys, part of the wire protocol (docs/planning-link.md). It contains the project's
# former name, since peers of both names must derive the same keys.
SESSION_KEYS_CONTEXT = b"larkweir planning 1"


@dataclass(slots=True, frozen=True)
class Established:
    """The handshake is complete.

    Attributes:
        peer: Name of the other peer.
        epoch: The planner's epoch.
    """

    peer: str
    epoch: int


Event = Established | Handshake | Message


class ReceivedEvent(NamedTuple):
    """An event, and the size of the frame that completed it."""

    event: Event
    frame_bytes: int


class Session(ABC):
    """Common part of both peers of a session: framing and encryption.

    Attributes:
        identity: This peer's key.
        name: This peer's name.
        established: Whether the handshake is complete.
        version: Negotiated protocol version; 0 before the negotiation.
    """

    def __init__(self, identity: Identity, name: str) -> None:
        """Create a session before its handshake."""
        self.identity = identity
        self.name = name
        self.established = False
        self.version = 0
        self._output: list[bytes] = []
        self._buffer = bytearray()
        self._private_key = X25519PrivateKey.generate()
        self._encryptor: ChaCha20Poly1305 | None = None
        self._decryptor: ChaCha20Poly1305 | None = None
        self._frames_sent = 0
        self._frames_received = 0
        self._transcript = b""

    @property
    def ephemeral(self) -> bytes:
        """This peer's ephemeral X25519 public key, generated for this session."""
        return self._private_key.public_key().public_bytes_raw()

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes received of an incomplete frame."""
        return len(self._buffer)

    @property
    def has_output(self) -> bool:
        """Whether there are bytes to send."""
        return bool(self._output)

    def take_output(self) -> bytes:
        """Remove and return the bytes to send."""
        data = b"".join(self._output)
        self._output.clear()
        return data

    # ------------------------------------------------ input

    def feed(self, data: bytes) -> Iterator[ReceivedEvent]:
        """Receive bytes.

        Yields:
            The events completed by these bytes. Events yielded before an error are valid.

        Raises:
            SessionError: The peer violated the protocol or is not authenticated.
        """
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            frame_bytes = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            max_frame_bytes = MAX_FRAME_BYTES if self.established else MAX_HANDSHAKE_BYTES
            if not 0 < frame_bytes <= max_frame_bytes:
                self._buffer.clear()
                raise SessionError(f"a frame of {frame_bytes} bytes; {max_frame_bytes} are the most")
            frame_end = LENGTH_BYTES + frame_bytes
            if len(self._buffer) < frame_end:
                return
            payload = bytes(self._buffer[LENGTH_BYTES:frame_end])
            del self._buffer[:frame_end]
            event = self._receive_frame(payload)
            if event is not None:
                yield ReceivedEvent(event, frame_bytes)

    def _receive_frame(self, payload: bytes) -> Event | None:
        try:
            if self._decryptor is None:
                return self._receive_handshake(decode_handshake(payload), payload)
            return decode(self._decrypt(self._decryptor, payload))
        except BadMessageError as error:
            raise SessionError(f"not a message: {error}") from None

    def _decrypt(self, decryptor: ChaCha20Poly1305, payload: bytes) -> bytes:
        """Decrypt the next frame."""
        nonce = self._frames_received.to_bytes(NONCE_BYTES, "big")
        try:
            plaintext = decryptor.decrypt(nonce, payload, None)
        except InvalidTag:
            raise SessionError(
                f"frame {self._frames_received} can't be opened: altered, repeated or lost"
            ) from None
        self._frames_received += 1
        return plaintext

    @abstractmethod
    def _receive_handshake(self, message: Handshake, payload: bytes) -> Event | None:
        """Continue the handshake with a message that was decoded from this payload."""

    # ------------------------------------------------ output

    def send(self, message: Message) -> int:
        """Encrypt a message for sending; returns the size of its frame.

        Raises:
            SessionError: The handshake is not complete, or the message is too long.
        """
        plaintext = encode(message)
        if self._encryptor is None:
            raise SessionError("cannot send a message before the handshake is complete")
        if len(plaintext) + TAG_BYTES > MAX_FRAME_BYTES:
            max_message_bytes = MAX_FRAME_BYTES - TAG_BYTES
            raise SessionError(f"a message of {len(plaintext)} bytes; {max_message_bytes} are the most")
        nonce = self._frames_sent.to_bytes(NONCE_BYTES, "big")
        ciphertext = self._encryptor.encrypt(nonce, plaintext, None)
        self._frames_sent += 1
        self._send_frame(ciphertext)
        return len(ciphertext)

    def send_bye(self, reason: str) -> None:
        """Send the peer the reason why this side ends the session."""
        message = Bye(reason[:MAX_NOTE_CHARACTERS])
        if self._encryptor is not None:
            self.send(message)
        else:
            self._send_frame(encode_handshake(message))

    def _send_frame(self, payload: bytes) -> None:
        self._output.append(len(payload).to_bytes(LENGTH_BYTES, "big") + payload)

    def _derive_keys(self, peer_ephemeral: bytes, role: bytes) -> None:
        """Derive both directions' keys from the X25519 keys and the transcript."""
        try:
            shared_secret = self._private_key.exchange(X25519PublicKey.from_public_bytes(peer_ephemeral))
        except ValueError:
            raise SessionError("its X25519 share is no good") from None
        keys = HKDF(SHA256(), 2 * KEY_BYTES, self._transcript, SESSION_KEYS_CONTEXT).derive(shared_secret)
        forwarder_key = ChaCha20Poly1305(keys[:KEY_BYTES])
        planner_key = ChaCha20Poly1305(keys[KEY_BYTES:])
        if role == FORWARDER:
            self._encryptor = forwarder_key
            self._decryptor = planner_key
        else:
            self._encryptor = planner_key
            self._decryptor = forwarder_key

    def _reject(self, reason: str) -> NoReturn:
        self.send_bye(reason)
        raise SessionError(reason)


class ForwarderSession(Session):
    """The forwarder's side of a session, which sends the first frame."""

    def __init__(self, identity: Identity, name: str, planner: str, known_epoch: int) -> None:
        """Start the handshake.

        Args:
            identity: The forwarder's key.
            name: The forwarder's name.
            planner: Name that the planner must prove.
            known_epoch: The highest epoch seen of that planner.
        """
        super().__init__(identity, name)
        self._planner = planner
        hello = Hello(list(VERSIONS), name, planner, identity.method, self.ephemeral, known_epoch)
        self._hello = encode_handshake(hello)
        self._send_frame(self._hello)

    def _receive_handshake(self, message: Handshake, payload: bytes) -> Event | None:  # noqa: ARG002 - used by the planner's side
        if isinstance(message, Bye):
            raise SessionError(f"rejected by the planner: {message.why}")
        if not isinstance(message, Welcome):
            raise SessionError(f"expected a Welcome, got a {type(message).__name__}")
        body = decode_body(message.body)
        if body.version not in VERSIONS:
            raise SessionError(f"the planner chose protocol version {body.version}, which was not offered")
        if body.name != self._planner:
            raise SessionError(f"connected to planner {body.name}, not {self._planner}")
        self._transcript = sha256(self._hello + message.body).digest()
        if not self.identity.accepts(body.name, PLANNER, self._transcript, message.proof):
            raise SessionError(
                f"planner {body.name} failed authentication: its proof does not match its configured key"
            )
        self.version = body.version
        proof = self.identity.prove(FORWARDER, self._transcript)
        self._send_frame(encode_handshake(Proof(proof)))
        self._derive_keys(body.ephemeral, FORWARDER)
        self.established = True
        return Established(body.name, body.epoch)


class PlannerSession(Session):
    """The planner's side of a session.

    Attributes:
        epoch: The planner's epoch.
    """

    def __init__(self, identity: Identity, name: str, epoch: int) -> None:
        """Wait for a `Hello`.

        Args:
            identity: The planner's key.
            name: The planner's name.
            epoch: The planner's epoch.
        """
        super().__init__(identity, name)
        self.epoch = epoch
        self._hello: Hello | None = None

    def _receive_handshake(self, message: Handshake, payload: bytes) -> Event | None:
        if self._hello is None:
            if not isinstance(message, Hello):
                raise SessionError(f"{type(message).__name__} in place of a hello")
            self._send_welcome(message, payload)
            return message
        if not isinstance(message, Proof):
            raise SessionError(f"{type(message).__name__} in place of a proof")
        peer = self._hello.name
        if not self.identity.accepts(peer, FORWARDER, self._transcript, message.proof):
            self._reject(f"forwarder {peer} has not the key that it should have")
        self._derive_keys(self._hello.ephemeral, PLANNER)
        if self._hello.known_epoch > self.epoch:
            self.send_bye(f"epoch {self.epoch} is over; come again")
            raise SupersededEpochError(self._hello.known_epoch)
        self.established = True
        return Established(peer, self.epoch)

    def _send_welcome(self, hello: Hello, payload: bytes) -> None:
        common_versions = [version for version in hello.versions if version in VERSIONS]
        if not common_versions:
            self._reject(f"no version in common: {sorted(hello.versions)} and {list(VERSIONS)}")
        if hello.planner != self.name:
            self._reject(f"this is planner {self.name}, not {hello.planner}")
        if hello.method != self.identity.method:
            shown_method = hello.method[:MAX_SHOWN_METHOD_CHARACTERS]
            self._reject(f"keys here are {self.identity.method}, not {shown_method}")
        self._hello = hello
        self.version = max(common_versions)
        body = encode_handshake(WelcomeBody(self.version, self.name, self.epoch, self.ephemeral))
        self._transcript = sha256(payload + body).digest()
        proof = self.identity.prove(PLANNER, self._transcript)
        self._send_frame(encode_handshake(Welcome(body, proof)))

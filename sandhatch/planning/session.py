"""One connection between a forwarder and a planner, as a machine: bytes in, events and bytes out. No I/O, no
clock; the caller says the time where rates are bounded.

A frame is a length of four bytes, most significant first, and so many bytes. The first three frames are a
handshake: each side proves who it is over all that was said, X25519 shares (RFC 7748) included. From then on
a frame is sealed with ChaCha20-Poly1305 (RFC 8439), with the frame's number in its direction as the nonce: so
what is repeated, left out or put in between can't be opened, in this session or any other.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import sha256
from typing import NoReturn

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.asymmetric.x25519 import X25519PrivateKey, X25519PublicKey
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from sandhatch.planning.keys import Identity
from sandhatch.planning.messages import (
    VERSION,
    BadMessageError,
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

MOST_HANDSHAKE = 2_048  # bytes of a frame, before the peer is known
MOST_FRAME = 1 << 20
TAG = 16
VERSIONS = (VERSION,)
FORWARDER, PLANNER = b"forwarder", b"planner"


class SessionError(Exception):
    """The peer is not who it should be, or broke the protocol; the session is of no further use."""


class EpochOverError(SessionError):
    """A forwarder knows of a later life of this planner: this one began with an earlier time."""

    def __init__(self, knows: int) -> None:
        super().__init__(f"a forwarder knows of epoch {knows}")
        self.knows = knows


@dataclass(slots=True, frozen=True)
class Established:
    """Both sides are known. `peer` is the other's name; `epoch` the planner's."""

    peer: str
    epoch: int


Event = Established | Handshake | Message


class Budget:
    """Frames and bytes a second that a peer may send; a burst of `seconds` of it at once."""

    def __init__(self, frames_per_s: float, bytes_per_s: float, seconds: float, now_ms: float) -> None:
        self._rates = (frames_per_s, bytes_per_s)
        self._most = (frames_per_s * seconds, max(bytes_per_s * seconds, float(MOST_FRAME)))
        self._left = list(self._most)
        self._at_ms = now_ms

    def take(self, size: int, now_ms: float) -> bool:
        """Whether one more frame of this size is within it."""
        span = (now_ms - self._at_ms) / 1000.0
        self._at_ms = now_ms
        for at, cost in ((0, 1.0), (1, float(size))):
            self._left[at] = min(self._most[at], self._left[at] + self._rates[at] * span) - cost
        return min(self._left) >= 0.0


class Session:
    """What both sides have in common. `out` is what to send."""

    def __init__(self, identity: Identity, name: str) -> None:
        self.identity = identity
        self.name = name
        self.out: list[bytes] = []
        self.established = False
        self.version = 0
        self._held = bytearray()
        self._private = X25519PrivateKey.generate()
        self._seal: ChaCha20Poly1305 | None = None
        self._open: ChaCha20Poly1305 | None = None
        self._sealed = self._opened = 0
        self._transcript = b""

    @property
    def ephemeral(self) -> bytes:
        return self._private.public_key().public_bytes_raw()

    @property
    def held(self) -> int:
        """Bytes that wait for the rest of their frame."""
        return len(self._held)

    def take_out(self) -> bytes:
        data = b"".join(self.out)
        self.out.clear()
        return data

    # ------------------------------------------------ bytes in

    def feed(self, data: bytes) -> Iterator[tuple[Event, int]]:
        """The events that these bytes complete, each with its frame's size; SessionError. What came before
        the error counts.
        """
        self._held += data
        while len(self._held) >= 4:
            size = int.from_bytes(self._held[:4], "big")
            most = MOST_FRAME if self.established else MOST_HANDSHAKE
            if not 0 < size <= most:
                self._held.clear()
                raise SessionError(f"a frame of {size} bytes; {most} are the most")
            if len(self._held) < 4 + size:
                return
            payload = bytes(self._held[4 : 4 + size])
            del self._held[: 4 + size]
            event = self._frame(payload)
            if event is not None:
                yield event, size

    def _frame(self, payload: bytes) -> Event | None:
        try:
            if self._open is None:
                return self._handshake(decode_handshake(payload), payload)
            try:
                plain = self._open.decrypt(self._opened.to_bytes(12, "big"), payload, None)
            except InvalidTag:
                raise SessionError(
                    f"frame {self._opened} can't be opened: altered, repeated or lost"
                ) from None
            self._opened += 1
            return self._message(plain)
        except BadMessageError as problem:
            raise SessionError(f"not a message: {problem}") from None

    def _message(self, plain: bytes) -> Event | None:
        return decode(plain)

    def _handshake(self, message: Handshake, payload: bytes) -> Event | None:
        raise NotImplementedError

    # ------------------------------------------------ bytes out

    def send(self, message: Message) -> int:
        """Seal a message; its size. SessionError if it is too long."""
        plain = encode(message)
        if self._seal is None:
            raise SessionError("nothing can be sent before the handshake is over")
        if len(plain) + TAG > MOST_FRAME:
            raise SessionError(f"a message of {len(plain)} bytes; {MOST_FRAME - TAG} are the most")
        sealed = self._seal.encrypt(self._sealed.to_bytes(12, "big"), plain, None)
        self._sealed += 1
        self._frame_out(sealed)
        return len(sealed)

    def bye(self, why: str) -> None:
        """Say why one leaves, if anything can be said yet."""
        message = Bye(why[:300])
        if self._seal is not None:
            self.send(message)
        else:
            self._frame_out(encode_handshake(message))

    def _frame_out(self, payload: bytes) -> None:
        self.out.append(len(payload).to_bytes(4, "big") + payload)

    def _agree(self, theirs: bytes, role: bytes) -> None:
        """Both directions' keys, of the two ephemeral shares and all that was said."""
        try:
            shared = self._private.exchange(X25519PublicKey.from_public_bytes(theirs))
        except ValueError:
            raise SessionError("its X25519 share is no good") from None
        keys = HKDF(SHA256(), 64, self._transcript, b"larkweir planning 1").derive(shared)
        mine, other = (keys[:32], keys[32:]) if role == FORWARDER else (keys[32:], keys[:32])
        self._seal, self._open = ChaCha20Poly1305(mine), ChaCha20Poly1305(other)

    def _reject(self, why: str) -> NoReturn:
        self.bye(why)
        raise SessionError(why)


class ForwarderSession(Session):
    """Speaks first."""

    def __init__(self, identity: Identity, name: str, planner: str, knows: int) -> None:
        super().__init__(identity, name)
        self._planner = planner
        hello = Hello(list(VERSIONS), name, planner, identity.method, self.ephemeral, knows)
        self._hello = encode_handshake(hello)
        self._frame_out(self._hello)

    def _handshake(self, message: Handshake, payload: bytes) -> Event | None:
        if isinstance(message, Bye):
            raise SessionError(f"turned away: {message.why}")
        if not isinstance(message, Welcome):
            raise SessionError(f"{type(message).__name__} in place of a welcome")
        body = decode_body(message.body)
        if body.version not in VERSIONS:
            raise SessionError(f"version {body.version} was not offered")
        if body.name != self._planner:
            raise SessionError(f"it is planner {body.name}, not {self._planner}")
        self._transcript = sha256(self._hello + message.body).digest()
        if not self.identity.accepts(body.name, PLANNER, self._transcript, message.proof):
            raise SessionError(f"planner {body.name} has not the key that it should have")
        self.version = body.version
        proof = self.identity.prove(FORWARDER, self._transcript)
        self._frame_out(encode_handshake(Proof(proof)))
        self._agree(body.ephemeral, FORWARDER)
        self.established = True
        return Established(body.name, body.epoch)


class PlannerSession(Session):
    """Answers. `epoch` is the planner's present one."""

    def __init__(self, identity: Identity, name: str, epoch: int) -> None:
        super().__init__(identity, name)
        self.epoch = epoch
        self._hello: Hello | None = None

    def _handshake(self, message: Handshake, payload: bytes) -> Event | None:
        if self._hello is None:
            if not isinstance(message, Hello):
                raise SessionError(f"{type(message).__name__} in place of a hello")
            self._welcome(message, payload)
            return message
        if not isinstance(message, Proof):
            raise SessionError(f"{type(message).__name__} in place of a proof")
        peer = self._hello.name
        if not self.identity.accepts(peer, FORWARDER, self._transcript, message.proof):
            self._reject(f"forwarder {peer} has not the key that it should have")
        self._agree(self._hello.ephemeral, PLANNER)
        if self._hello.knows > self.epoch:
            self.bye(f"epoch {self.epoch} is over; come again")
            raise EpochOverError(self._hello.knows)
        self.established = True
        return Established(peer, self.epoch)

    def _welcome(self, hello: Hello, payload: bytes) -> None:
        common = [version for version in hello.versions if version in VERSIONS]
        if not common:
            self._reject(f"no version in common: {sorted(hello.versions)} and {list(VERSIONS)}")
        if hello.planner != self.name:
            self._reject(f"this is planner {self.name}, not {hello.planner}")
        if hello.method != self.identity.method:
            self._reject(f"keys here are {self.identity.method}, not {hello.method[:16]}")
        self._hello = hello
        self.version = max(common)
        body = encode_handshake(WelcomeBody(self.version, self.name, self.epoch, self.ephemeral))
        self._transcript = sha256(payload + body).digest()
        proof = self.identity.prove(PLANNER, self._transcript)
        self._frame_out(encode_handshake(Welcome(body, proof)))

"""Parses and validates the bodies and headers that callers send."""

from __future__ import annotations

import hashlib
import math
from typing import Any

import msgspec

from coriandershelf_core import Request, RequestKind
from coriandershelf_core.internal.routing.prompt import estimate_tokens, prefix_hashes

DEADLINE_HEADER = "X-Request-Deadline-Ms"
DEFAULT_MAX_TOKENS = 256


class ChatMessage(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """The fields of a chat-completions body that routing uses; others are passed through."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False


class BadRequest(msgspec.Struct):
    """Why a request is invalid and how to correct it."""

    message: str


def hash_key(authorization: str) -> str:
    """Return the hex SHA-256 of a bearer key; the key itself is not kept."""
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer":
        key = ""
    return hashlib.sha256(key.strip().encode()).hexdigest()


def parse_deadline(header: str | None, default_s: float, now_s: float) -> float | BadRequest:
    """Convert a relative deadline in milliseconds into an absolute one in seconds."""
    if header is None:
        return now_s + default_s
    try:
        milliseconds = float(header)
    except ValueError:
        milliseconds = math.nan
    if not 0 < milliseconds < 1e9:
        return BadRequest(f"{DEADLINE_HEADER} must be a number of milliseconds above 0")
    return now_s + milliseconds / 1000


def parse_chat(
    body: bytes,
    kind: RequestKind,
    request_id: str,
    credential_hash: str,
    deadline_s: float,
    idempotency_key: str | None,
) -> Request | BadRequest:
    """Return the request in a chat-completions body, or what is wrong with it."""
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return BadRequest(str(error))
    max_tokens = chat.max_completion_tokens or chat.max_tokens or DEFAULT_MAX_TOKENS
    if max_tokens < 1:
        return BadRequest("max_tokens must be at least 1")
    if not chat.messages:
        return BadRequest("messages must contain at least one message")
    text = "\0".join(f"{message.role}\0{message.content}" for message in chat.messages)
    return Request(
        request_id=request_id,
        kind=kind,
        credential_hash=credential_hash,
        service=chat.model,
        deadline_s=deadline_s,
        body=_set_stream(body),
        idempotency_key=idempotency_key,
        prompt_tokens=estimate_tokens(text),
        max_tokens=max_tokens,
        prefix_hashes=prefix_hashes(text),
        stream=chat.stream,
    )


def _set_stream(body: bytes) -> bytes:
    """Return the body with ``stream`` set: engines always stream to the entry VM."""
    fields: dict[str, Any] = msgspec.json.decode(body)
    fields["stream"] = True
    return msgspec.json.encode(fields)

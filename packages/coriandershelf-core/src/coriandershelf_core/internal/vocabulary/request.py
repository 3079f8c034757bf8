"""A caller's request as the core sees it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class RequestKind(Enum):
    """What a request asks for: a chat response, a job, or a call of a plain service."""

    CHAT = "chat"
    JOB = "job"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Request:
    """One request from a caller.

    :param request_id: unique across all entry VMs.
    :param credential_hash: hex SHA-256 of the bearer key.
    :param service: model or plain service by its inventory name.
    :param path: path below the plain service; empty for models.
    :param body: the body as sent to the upstream.
    :param idempotency_key: the caller's key, or ``None``.
    :param deadline_s: absolute time after which the response is useless to the caller.
    :param prompt_tokens: estimated token count of the prompt.
    :param max_tokens: upper bound on generated tokens.
    :param prefix_hashes: hashes of successively longer prefixes of the prompt, shortest first.
    :param stream: whether the caller reads tokens as they are generated.
    """

    request_id: str
    kind: RequestKind
    credential_hash: str
    service: str
    deadline_s: float
    path: str = ""
    body: bytes = b""
    idempotency_key: str | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    stream: bool = True

"""Responses to callers: outcome names, error documents, non-streamed completions."""

from __future__ import annotations

import json
from typing import Any

from coriandershelf_core import Done, NotRun, Outcome, Request, Unknown

OUTCOME_HEADER = "X-Outcome"
REASON_HEADER = "X-Outcome-Reason"


def outcome_name(outcome: Outcome) -> str:
    """Return the name of the outcome in the API."""
    if isinstance(outcome, Done):
        return "done"
    return "not-run" if isinstance(outcome, NotRun) else "unknown"


def error_document(outcome: NotRun | Unknown) -> dict[str, Any]:
    """Return the outcome as an error document of the API."""
    reason = outcome.reason
    message = f"{outcome.detail}. {reason.remedy}" if outcome.detail else reason.remedy
    kind = "invalid_request_error" if 400 <= reason.status < 500 else "server_error"
    error = {"message": message, "type": kind, "code": reason.code, "param": None}
    return {"error": error, "outcome": outcome_name(outcome)}


def build_completion(request: Request, payloads: list[bytes]) -> bytes:
    """Return the chat completion for a caller that did not ask for a stream."""
    chunks = [json.loads(payload) for payload in payloads]
    content = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    finish_reason = chunks[-1]["choices"][0].get("finish_reason") if chunks else None
    completion_tokens = sum("content" in chunk["choices"][0]["delta"] for chunk in chunks)
    document = {
        "id": f"chatcmpl-{request.request_id}",
        "object": "chat.completion",
        "model": request.service,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": content},
                "finish_reason": finish_reason,
            }
        ],
        "usage": {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": request.prompt_tokens + completion_tokens,
        },
    }
    return json.dumps(document).encode()

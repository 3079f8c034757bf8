"""Answers to callers: names of outcomes, error documents, whole completions."""

from __future__ import annotations

import json
from typing import Any

from coriandershelf_core import Done, NotRun, Outcome, Request, Unknown

OUTCOME_HEADER = "X-Outcome"
REASON_HEADER = "X-Outcome-Reason"


def outcome_name(outcome: Outcome) -> str:
    """Return the outcome's name as callers see it."""
    if isinstance(outcome, Done):
        return "done"
    return "not-run" if isinstance(outcome, NotRun) else "unknown"


def error_document(outcome: NotRun | Unknown) -> dict[str, Any]:
    """Return the error in the interface's usual JSON form."""
    reason = outcome.reason
    message = f"{outcome.detail}. {reason.remedy}" if outcome.detail else reason.remedy
    kind = "invalid_request_error" if 400 <= reason.status < 500 else "server_error"
    error = {"message": message, "type": kind, "code": reason.code, "param": None}
    return {"error": error, "outcome": outcome_name(outcome)}


def whole_completion(request: Request, payloads: list[bytes]) -> bytes:
    """Return the answer of a caller that does not stream."""
    chunks = [json.loads(payload) for payload in payloads]
    text = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    finish = chunks[-1]["choices"][0].get("finish_reason") if chunks else None
    count = sum("content" in chunk["choices"][0]["delta"] for chunk in chunks)
    document = {
        "id": f"chatcmpl-{request.request_id}",
        "object": "chat.completion",
        "model": request.service,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }
        ],
        "usage": {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": count,
            "total_tokens": request.prompt_tokens + count,
        },
    }
    return json.dumps(document).encode()

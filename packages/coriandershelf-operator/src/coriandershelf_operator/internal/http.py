"""HTTP requests of the operator's tool, whose failures are values."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

REQUEST_LIMIT_S = 3.0


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The other side did not answer with a result; ``status`` is 0 where it said nothing."""

    detail: str
    status: int = 0


async def fetch_json(
    url: str, body: bytes | None = None, key: str = "", limit_s: float = REQUEST_LIMIT_S
) -> Any | NoAnswer:
    """Return the JSON document that a URL answers with.

    :param body: sent with ``POST``; ``None`` sends ``GET``.
    :param key: bearer key, or empty.
    """
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    try:
        response = await AsyncHTTPClient().fetch(
            url,
            method="GET" if body is None else "POST",
            body=body,
            headers=headers,
            request_timeout=limit_s,
            connect_timeout=limit_s,
        )
        return json.loads(response.body)
    except HTTPClientError as error:
        status = error.code if error.response is not None else 0
        return NoAnswer(str(error), status)
    except (OSError, ValueError) as error:
        return NoAnswer(str(error))

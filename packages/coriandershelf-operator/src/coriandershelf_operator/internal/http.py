"""HTTP requests of the operator's tool; failures are returned, not raised."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError

REQUEST_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class RequestFailure:
    """A failed request; ``status`` is the HTTP status, or 0 if there was no response."""

    detail: str
    status: int = 0


async def fetch_json(
    url: str, body: bytes | None = None, key: str = "", timeout_s: float = REQUEST_TIMEOUT_S
) -> Any | RequestFailure:
    """Return the JSON document at a URL, or why it could not be fetched.

    :param body: body to ``POST``; ``None`` sends a ``GET``.
    :param key: bearer key, or empty.
    """
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    try:
        response = await AsyncHTTPClient().fetch(
            url,
            method="GET" if body is None else "POST",
            body=body,
            headers=headers,
            request_timeout=timeout_s,
            connect_timeout=timeout_s,
        )
        return json.loads(response.body)
    except HTTPClientError as error:
        status = error.code if error.response is not None else 0
        return RequestFailure(str(error), status)
    except (OSError, ValueError) as error:
        return RequestFailure(str(error))

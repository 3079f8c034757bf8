"""The operator's view of the platform's log: propose a configuration, read the verdicts."""

from __future__ import annotations

import base64
import json
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from typing import Any

from coriandershelf_core.internal.configuration import Configuration, Verdict
from coriandershelf_core.internal.records import CONFIGURATION_STREAM, ConfigurationProposed
from coriandershelf_wire import Malformed, decode_record, encode_record, parse_or_none

REQUEST_LIMIT_S = 3.0
PUBLISH_POLL_S = 0.2


@dataclass(frozen=True, slots=True)
class LogDown:
    """The log does not answer."""

    detail: str


def _fetch(url: str, body: bytes | None = None) -> Any | LogDown:
    request = urllib.request.Request(url, data=body)
    try:
        with urllib.request.urlopen(request, timeout=REQUEST_LIMIT_S) as answer:
            return json.loads(answer.read())
    except (urllib.error.URLError, OSError, ValueError) as error:
        return LogDown(str(error))


def read_configuration(address: str) -> Configuration | LogDown:
    """Return the configuration folded from the whole stream."""
    configuration = Configuration(parse_or_none)
    offset = 0
    while True:
        url = f"http://{address}/streams/{CONFIGURATION_STREAM}?from={offset}"
        answer = _fetch(url)
        if isinstance(answer, LogDown):
            return answer
        for item in answer["records"]:
            record = decode_record(base64.b64decode(item["data"]), item["offset"], item["time_s"])
            if isinstance(record, Malformed):
                continue
            for entry in record.entries:
                if isinstance(entry, ConfigurationProposed):
                    configuration.apply(entry)
        if answer["next_offset"] == offset or not answer["records"]:
            return configuration
        offset = answer["next_offset"]


def publish(address: str, proposal: ConfigurationProposed, wait_s: float) -> Verdict | LogDown:
    """Append a proposal and wait for its verdict, also where the append's answer was lost."""
    record = encode_record(proposal.publish_id, 1, 1, (proposal,))
    _fetch(f"http://{address}/streams/{CONFIGURATION_STREAM}", record)
    until_s = time.monotonic() + wait_s
    while time.monotonic() < until_s:
        configuration = read_configuration(address)
        if not isinstance(configuration, LogDown):
            verdict = configuration.verdicts.get(proposal.publish_id)
            if verdict is not None:
                return verdict
        time.sleep(PUBLISH_POLL_S)
    return LogDown("the verdict is not known yet")

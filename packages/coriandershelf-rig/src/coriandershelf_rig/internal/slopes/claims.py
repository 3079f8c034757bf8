"""What claims cost: processor time and memory of a reader, bytes in the log, appends."""

from __future__ import annotations

import time
import tracemalloc

from coriandershelf_core import EntryCore
from coriandershelf_core.internal.vocabulary.events import LogRead
from coriandershelf_core.internal.vocabulary.records import (
    LEDGER_STREAM,
    Claim,
    ClaimFinished,
    Record,
)
from coriandershelf_rig.internal.slopes.fit import Quantity, join
from coriandershelf_rig.internal.slopes.requests import make_core
from coriandershelf_wire import decode_record, encode_record

NAME = "claims"
CALL_COUNTS = (1_000, 2_000, 5_000, 10_000)
# A day's calls at two a second from all of the callers, kept for the keys' window of a day.
TARGET_COUNT = 172_800
GROUP_COUNT = 10
RESULT_BYTES = 200


def _records(count: int) -> list[bytes]:
    """Return the encoded records of that many calls: claims, then results, in groups."""
    records: list[bytes] = []
    for start in range(0, count, GROUP_COUNT):
        keys = [f"{index:064x}" for index in range(start, start + GROUP_COUNT)]
        claims = tuple(Claim(key, key, key[:32], "entry-2", 1000.0, 1) for key in keys)
        result = b"x" * RESULT_BYTES
        results = tuple(ClaimFinished(key, key[:32], True, 200, result) for key in keys)
        for entries in (claims, results):
            records.append(encode_record("entry-2", 1, len(records) + 1, entries))
    return records


def run(seed: int) -> str:
    """Measure a reader of the ledger."""
    reading, memory, size = [], [], []
    for count in CALL_COUNTS:
        core = make_core(12, seed)
        encoded = _records(count)
        tracemalloc.start()
        before_bytes, _ = tracemalloc.get_traced_memory()
        _apply(core, encoded)
        after_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        fresh = make_core(12, seed)
        started_s = time.process_time()
        _apply(fresh, encoded)
        used_s = time.process_time() - started_s
        reading.append((float(count), used_s * 1000))
        memory.append((float(count), (after_bytes - before_bytes) / 2**20))
        size.append((float(count), sum(len(item) for item in encoded) / 1024))
    return join(
        [
            Quantity("reading the calls", "call", "ms", tuple(reading), TARGET_COUNT),
            Quantity("memory of the keys", "call", "MiB", tuple(memory), TARGET_COUNT),
            Quantity("bytes in the log", "call", "KiB", tuple(size), TARGET_COUNT),
        ]
    )


def _apply(core: EntryCore, encoded: list[bytes]) -> None:
    for offset, data in enumerate(encoded):
        record = decode_record(data, offset, 1000.0 + offset * 0.01)
        assert isinstance(record, Record), "own records decode"
        event = LogRead(LEDGER_STREAM, (record,), 0, offset + 1)
        core.step(event, 1010.0 + offset * 0.01)

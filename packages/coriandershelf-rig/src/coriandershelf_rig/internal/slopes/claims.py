"""Cost of claims: a reader's CPU time and memory, and bytes in the log."""

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
from coriandershelf_rig.internal.slopes.fit import LinearFit, join_summaries
from coriandershelf_rig.internal.slopes.requests import make_core
from coriandershelf_wire import decode_record, encode_record

NAME = "claims"
CALL_COUNTS = (1_000, 2_000, 5_000, 10_000)
# One day of calls at two per second in total; keys are kept for one day.
TARGET_COUNT = 172_800
CALLS_PER_GROUP_COUNT = 10
RESULT_BYTES = 200


def _encode_records(count: int) -> list[bytes]:
    """Return the encoded records of ``count`` calls, each group's claims before its results."""
    records: list[bytes] = []
    for start in range(0, count, CALLS_PER_GROUP_COUNT):
        keys = [f"{index:064x}" for index in range(start, start + CALLS_PER_GROUP_COUNT)]
        claims = tuple(Claim(key, key, key[:32], "entry-2", 1000.0, 1) for key in keys)
        result = b"x" * RESULT_BYTES
        results = tuple(ClaimFinished(key, key[:32], True, 200, result) for key in keys)
        for entries in (claims, results):
            records.append(encode_record("entry-2", 1, len(records) + 1, entries))
    return records


def run(seed: int) -> str:
    """Measure reading the ledger stream."""
    read_points, memory_points, size_points = [], [], []
    for count in CALL_COUNTS:
        core = make_core(12, seed)
        encoded = _encode_records(count)
        tracemalloc.start()
        before_bytes, _ = tracemalloc.get_traced_memory()
        _read_records(core, encoded)
        after_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        untraced_core = make_core(12, seed)
        started_s = time.process_time()
        _read_records(untraced_core, encoded)
        cpu_s = time.process_time() - started_s
        read_points.append((float(count), cpu_s * 1000))
        memory_points.append((float(count), (after_bytes - before_bytes) / 2**20))
        size_points.append((float(count), sum(len(item) for item in encoded) / 1024))
    return join_summaries(
        [
            LinearFit("reading the calls", "call", "ms", tuple(read_points), TARGET_COUNT),
            LinearFit("memory of the keys", "call", "MiB", tuple(memory_points), TARGET_COUNT),
            LinearFit("bytes in the log", "call", "KiB", tuple(size_points), TARGET_COUNT),
        ]
    )


def _read_records(core: EntryCore, encoded: list[bytes]) -> None:
    for offset, data in enumerate(encoded):
        record = decode_record(data, offset, 1000.0 + offset * 0.01)
        assert isinstance(record, Record), "records encoded here must decode"
        event = LogRead(LEDGER_STREAM, (record,), 0, offset + 1)
        core.step(event, 1010.0 + offset * 0.01)

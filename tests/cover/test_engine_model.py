"""The stand-in engine reports its cache events with a delay and with gaps."""

from __future__ import annotations

from coriandershelf_rig.internal.engine_model import EngineModel, EngineShape, Sequence
from coriandershelf_rig.internal.standin_engine import delayed_cache_events


def make_engine(prefix_count: int, cache_tokens: int) -> EngineModel:
    engine = EngineModel(EngineShape(cache_tokens=cache_tokens))
    for index in range(prefix_count):
        name = f"a{index}"
        sequence = Sequence(name, name, 0, 64, (index,), 1)
        engine.submit(sequence, float(index))
        engine.advance(index + 0.9)
    return engine


def test_each_prefix_stored_or_dropped_is_an_event_in_order():
    engine = make_engine(20, cache_tokens=640)
    stored = [event.prefix for event in engine.cache_events if event.stored]
    evicted = [event.prefix for event in engine.cache_events if not event.stored]
    assert stored == list(range(20))
    assert evicted == list(range(10))
    numbers = [event.number for event in engine.cache_events]
    assert numbers == list(range(1, len(numbers) + 1))


def test_events_are_told_late_and_some_never():
    engine = make_engine(40, cache_tokens=100_000)
    reported = [event.number for event in delayed_cache_events(engine, 1)]
    assert reported[-1] < 40
    assert 7 not in reported
    assert [event.number for event in delayed_cache_events(engine, 20)] == [
        n for n in reported if n >= 20
    ]

"""Weighted fair shares, priority within a share, and protection against starvation."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from coriandershelf_core import Request, RequestKind
from coriandershelf_core.internal.admission.fairness import FairQueue
from coriandershelf_core.internal.admission.queue import WorkQueue
from coriandershelf_core.internal.vocabulary.work import WorkClass, WorkItem, WorkOwner

MEMORY_S = 10.0
numbers = itertools.count()


def make_work(customer, share=1.0, priority=1, cost=50.0, work_class=WorkClass.SHORT, **fields):
    request = Request(
        request_id=f"w{next(numbers)}",
        kind=RequestKind.CHAT,
        credential_hash="",
        service="model",
        deadline_s=fields.pop("deadline_s", 1e9),
    )
    return WorkItem(
        request=request,
        customer=customer,
        priority=priority,
        share=share,
        owner=WorkOwner.CALLER,
        work_class=work_class,
        repeatable=True,
        queued_at_s=fields.pop("queued_at_s", 0.0),
        cost_tokens=cost,
    )


def serve(queue, seconds, per_s=20):
    """Take work items at a constant rate."""
    for step in range(int(seconds * per_s)):
        work = queue.best(step / per_s)
        if work is not None:
            queue.take(work, step / per_s)


@settings(max_examples=20)
@given(
    customers=st.lists(
        st.tuples(st.sampled_from([1.0, 2.0, 4.0]), st.integers(0, 2)), min_size=2, max_size=4
    )
)
def test_backlogged_customers_get_tokens_by_their_shares(customers):
    queue = FairQueue(MEMORY_S)
    taken_counts = [0] * len(customers)

    def push(index, now_s):
        share, priority = customers[index]
        queue.push(make_work(f"c{index}", share, priority), now_s)

    for index in range(len(customers)):
        push(index, 0.0)
        push(index, 0.0)
    for step in range(2400):
        now_s = step / 20
        work = queue.best(now_s)
        queue.take(work, now_s)
        index = int(work.customer[1:])
        taken_counts[index] += 1
        push(index, now_s)
    total_share = sum(share for share, _ in customers)
    for count, (share, _) in zip(taken_counts, customers, strict=True):
        assert abs(count / 2400 - share / total_share) <= 0.1


def test_a_flooding_priority_customer_does_not_keep_out_a_small_one():
    queue = FairQueue(MEMORY_S)
    for _ in range(400):
        queue.push(make_work("large", 4.0, priority=0), 0.0)
    serve(queue, 10.0)
    small = make_work("small", 1.0, priority=2, queued_at_s=10.0)
    queue.push(small, 10.0)
    assert queue.best(10.0) is small


def test_inside_their_shares_the_priority_customer_goes_first():
    queue = FairQueue(MEMORY_S)
    queue.push(make_work("later", 1.0, priority=1), 0.0)
    first = make_work("first", 1.0, priority=0)
    queue.push(first, 0.0)
    assert queue.best(0.0) is first


def test_a_work_that_was_tried_before_goes_back_to_the_front_unpaid():
    queue = FairQueue(MEMORY_S)
    queue.push(make_work("c"), 0.0)
    tried = make_work("c")
    tried.attempt_count = 1
    queue.push(tried, 0.0)
    assert queue.best(0.0) is tried
    queue.take(tried, 0.0)
    assert queue.usage_ratio("c", 0.0) == 0.0


def test_short_work_does_not_wait_behind_long_work_without_room():
    queue = WorkQueue(MEMORY_S)
    queue.push(make_work("c", work_class=WorkClass.LONG), 0.0)
    short = make_work("c")
    queue.push(short, 0.0)
    replica = object()
    taken = queue.take_first(lambda work: None if work.work_class is WorkClass.LONG else replica, 0)
    assert taken == (short, replica)


def test_one_look_at_each_queue_decides_however_many_wait():
    queue = WorkQueue(MEMORY_S)
    for index in range(2000):
        queue.push(make_work(f"c{index % 5}"), 0.0)
    checked = []
    assert queue.take_first(lambda work: checked.append(work), 0.0) is None
    assert len(checked) == 1


def test_a_work_past_its_deadline_is_taken_out_once():
    queue = WorkQueue(MEMORY_S)
    late = make_work("c", deadline_s=5.0)
    queue.push(late, 0.0)
    queue.push(make_work("c", deadline_s=50.0), 0.0)
    assert queue.take_expired(4.9) == []
    assert queue.take_expired(5.0) == [late]
    assert len(queue) == 1


def test_the_wait_is_the_customers_own_backlog_by_the_rate_it_drains_at():
    queue = FairQueue(MEMORY_S)
    for _ in range(100):
        queue.push(make_work("c", cost=50.0), 0.0)
    serve(queue, 2.0, per_s=10)
    # 80 work items of 50 tokens are left and drain at 500 tokens per second.
    assert 6.0 < queue.wait_s(make_work("c"), 2.0) < 10.0
    assert queue.wait_s(make_work("idle"), 2.0) < 1.0

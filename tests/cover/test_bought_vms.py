"""Bought VMs receive requests, but load digests, which refer to replicas by index, omit them."""

from __future__ import annotations

from coriandershelf_core.internal.vocabulary.events import VmListRead, VmRole, VmState, VmStatus
from coriandershelf_rig.internal.bench import Bench
from coriandershelf_rig.internal.deployments import consorcio


def bought_vm(state: VmState = VmState.LIVE) -> VmStatus:
    return VmStatus("bought-1", 1, VmRole.UPSTREAM, "vc-a", state, "127.0.0.1:9", "route-model", 16)


def make_bench() -> Bench:
    bench = Bench(consorcio(), 1)
    bench.run(1.0)
    return bench


def replica_ids(bench: Bench, vm_id: str) -> set[str]:
    core = bench.entries[vm_id].core
    return {state.replica.replica_id for state in core.dispatcher.replicas}


def test_a_bought_vm_that_the_list_shows_is_a_replica():
    bench = make_bench()
    bench.vms["bought-1"] = bought_vm()
    bench.feed("entry-1", VmListRead(tuple(bench.vms.values())))
    assert "bought-1" in replica_ids(bench, "entry-1")


def test_a_new_configuration_keeps_the_bought_vms():
    bench = make_bench()
    bench.vms["bought-1"] = bought_vm()
    bench.run(5.0)
    bench.publish("second", 1)
    bench.run(2.0)
    core = bench.entries["entry-1"].core
    assert core.configuration.version == 2
    assert "bought-1" in replica_ids(bench, "entry-1")


def test_a_digest_of_loads_never_names_a_bought_vm():
    bench = make_bench()
    bench.vms["bought-1"] = bought_vm()
    bench.run(5.0)
    core = bench.entries["entry-1"].core
    published_count = sum(not replica.bought for replica in core.context.inventory.replicas)
    assert published_count < len(core.context.inventory.replicas)
    assert all(index < published_count for index in core.fleet.loads.digest(bench.now_s).indexes)

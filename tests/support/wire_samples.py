"""Writes and reads samples of all that entry VMs tell each other, with the sources on the path.

It runs with the sources of this commit and of earlier ones, so it uses only what all of them have:

    python tests/support/wire_samples.py record COMMIT > tests/data/wire/COMMIT.json
    python tests/support/wire_samples.py encode
    python tests/support/wire_samples.py decode < SAMPLES

``encode`` prints a JSON object of samples by name, with the bytes in hexadecimal. ``decode`` reads
such an object and prints the value of each, or the error. A sample has a message's type byte and
body, or is a record or a head with the name in its key.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import msgspec

from coriandershelf_core.internal.gateway.duty_lease import LeaseRecord
from coriandershelf_platform import peer_link

LEASE = "record keyed.duty lease"
REGISTRATION = "record keyed.entry-vms"

# A value other than the default for every field; earlier builds take the fields that they know.
FULL: dict[str, dict[str, Any]] = {
    "D": {
        "vm_id": "edge-2@10.0.0.2", "address": "10.0.0.2:7500", "zone": "zone-1",
        "incarnation": 1764850000123, "sequence": 77, "clock_s": 1764850100.25, "stopping": True,
        "configuration_version": 14,
        "replicas": {
            "i-1": {
                "running_count": 3, "waiting_tokens": 900, "slowness_percent": 140,
                "pace_percent": 120, "pace_age_ms": 250,
            }
        },
        "spent": {"customer-1": 1234.5}, "demand": {"customer-1": 99.0},
        "begun": {"352970020": {"customer-1": 7}}, "crashes": {"18446744073709551615": 2},
        "died": {"18446744073709551615": {"4294967295": 2}},
        "work": {
            "engine": {
                "requests_per_s": 2.5, "tokens_per_s": 800.0, "late_tokens_per_s": 25.0,
                "running_count": 4,
            }
        },
        "left": {"i-2": 1764850000999},
        "limits": {
            "i-1": {"started_at_ms": 1764850000111, "per_s": 2.5, "age_ms": 40, "sent_count": 6}
        },
        "parts": {"9223372036854775809": [[[4294967295, 400, 20]], 1500, True, [7, 8]]},
        "no_path": True, "holder": {"vm_id": "edge-2@10.0.0.2", "number": 41},
        "complete": True, "lease_end": 60, "released": 40, "token": 42, "reported": 353445120,
        "alive": {"i-4": {"started_at_ms": 1764850000333, "age_ms": 350}},
        "build": "0.1.0+1", "digest_port": 7501,
        "rollouts": {
            "engine": {
                "state": {
                    "service": "engine", "target": "v2", "duration_s": 12.0, "offset": 31,
                    "number": 41, "step": 2, "phase": "moving", "share": 0.5,
                    "started_s": 1764850000.0, "changed_s": 1764850004.0,
                    "observed_s": 1764850001.0, "barred": ["v0"], "reason": "good",
                },
                "age_ms": 40,
            }
        },
        "versions": {
            "engine": {
                "offset": 31, "old_running": 3,
                "routes": {
                    "plan": {
                        "old": 90, "old_bad": 2, "old_slow": 1, "new": {"i-3": 9},
                        "new_bad": {"i-3": 1}, "new_slow": {"i-3": 1},
                    }
                },
            }
        },
    },
    "A": {
        "vm_id": "edge-2@10.0.0.2", "address": "10.0.0.2:7500", "ask_id": 5,
        "replicas": ["i-1", "i-2"], "parts": [{"part_id": "system", "tokens_count": 300}],
    },
    "T": {
        "vm_id": "edge-2@10.0.0.2", "ask_id": 5,
        "rooms": [
            {
                "replica_id": "i-1", "running_count": 3, "waiting_tokens": 900,
                "cached_tokens": 300, "shut_out": True, "pace": 1.25, "pace_age_s": 0.5,
                "slowness": 1.5, "streams_count": 2,
            }
        ],
    },
    "N": {
        "vm_id": "edge-2@10.0.0.2", "incarnation": 1764850000123, "replica_id": "i-1",
        "attempt_id": 9, "step": "started", "tokens_count": 900, "keep_s": 12.5,
        "parts": [{"part_id": "system", "tokens_count": 300}], "pace": 1.25, "slowness": 1.5,
    },
    "O": {
        "stream_id": "id-1", "version": "v2",
        "claim": {
            "service": "engine", "replica_id": "i-4", "started_at_ms": 1764850000333,
            "version": "v2", "connected_age_ms": 250,
        },
    },
    "W": {
        "vm_id": "edge-2@10.0.0.2", "address": "10.0.0.2:7500", "query_id": 5,
        "stream_id": "id-1",
    },
    "V": {
        "vm_id": "edge-2@10.0.0.2", "query_id": 5, "stream_id": "id-1", "version": "v2",
        "claim": {
            "service": "engine", "replica_id": "i-4", "started_at_ms": 1764850000333,
            "version": "v2", "connected_age_ms": 250,
        },
    },
    "B": {"address": "10.0.0.2:7500", "origins": [{"stream_id": "id-1", "version": "v2"}]},
    "S": {"stream_ids": ["id-1"]},
    "Q": {
        "vm_id": "edge-2@10.0.0.2", "address": "10.0.0.2:7500", "query_id": 5,
        "topic": "keyed.op", "next_offset": 31,
    },
    "R": {
        "vm_id": "edge-2@10.0.0.2", "query_id": 5, "topic": "keyed.op", "proof_age_s": 0.25,
        "records": [{"key": "config", "value": "e30="}, {"key": "gone", "value": None}],
        "after_outage": True, "in_order_s": 12.5,
    },
}  # fmt: skip
LEASE_FIELDS: dict[str, Any] = {
    "vm_id": "edge-2@10.0.0.2", "incarnation": 1764850000123, "fencing_number": 41,
    "reports": [[352970019, {"customer-1": 7, "customer-2": 0}]],
    "counts": [{"vm_id": "edge-2@10.0.0.2", "incarnation": 1764850000123,
                "windows": {"352970020": {"customer-1": 3}}}],
}  # fmt: skip


def message_types() -> dict[str, Any]:
    """Return the message types by type byte."""
    return {tag.decode(): kind for tag, kind in sorted(peer_link._TYPE_OF_TAG.items())}


def to_value(message: object) -> Any:
    """Return a message or record as JSON types."""
    return json.loads(json.dumps(msgspec.to_builtins(message, str_keys=True)))


def least_fields(message_type: Any, full: dict[str, Any]) -> dict[str, Any]:
    """Return the fields without a default."""
    fields = msgspec.inspect.type_info(message_type).fields
    return {field.name: full[field.name] for field in fields if field.required}


def encode_all() -> dict[str, dict[str, Any]]:
    """Return each sample with its bytes and value."""
    samples: dict[str, dict[str, Any]] = {}

    def add(name: str, data: bytes, value: Any) -> None:
        samples[name] = {"hex": data.hex(), "value": value}

    for tag, message_type in message_types().items():
        full = FULL.get(tag, {})
        for kind, fields in (("full", full), ("least", least_fields(message_type, full))):
            message = msgspec.convert(fields, message_type, strict=False)
            data = tag.encode() + peer_link._encoder.encode(message)
            add(f"message {tag} {kind}", data, to_value(message))
    record = msgspec.convert(LEASE_FIELDS, LeaseRecord, strict=False)
    add(LEASE, record.encode(), to_value(record))
    add(REGISTRATION, b"10.0.0.2:7500", ["10.0.0.2", 7500])
    return samples


def decode(name: str, data: bytes) -> Any:
    """Return the value of a sample as this build reads it."""
    if name == LEASE:
        record = LeaseRecord.decode(data)
        return None if record is None else to_value(record)
    if name == REGISTRATION:
        host, _, port = data.decode("utf-8", "replace").rpartition(":")
        return [host, int(port)]
    # Runs with the sources of landed builds as well, which have the types in common.
    message_type = peer_link._TYPE_OF_TAG[data[:1]]
    return to_value(msgspec.msgpack.decode(data[1:], type=message_type))


def decode_all(samples: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Return the values of samples by name; an error is a text."""
    values: dict[str, Any] = {}
    for name, sample in samples.items():
        try:
            values[name] = decode(name, bytes.fromhex(sample["hex"]))
        except Exception as error:
            values[name] = f"{type(error).__name__}: {error}"
    return values


async def _tunnel_request() -> bytes:
    """Return the head by which this build asks another VM for a tunnel."""
    from tornado.tcpclient import TCPClient

    from coriandershelf_platform import replica_tunnels

    heads: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    await replica_tunnels.connect_through(TCPClient(), f"127.0.0.1:{port}", "10.0.0.9:80")
    server.close()
    return heads[0]


def tunnel_heads() -> dict[str, str]:
    """Return the heads of tunnels; none of a build without them."""
    try:
        from coriandershelf_platform import replica_tunnels
    except ImportError:
        return {}
    return {
        "request": asyncio.run(_tunnel_request()).decode(),
        "opened": replica_tunnels.OPENED.decode(),
        "unreachable": replica_tunnels.UNREACHABLE.decode(),
        "refused": replica_tunnels.REFUSED.decode(),
    }


def schemas() -> dict[str, Any]:
    """Return the layout of each message and record."""
    layouts = {tag: layout_of(kind) for tag, kind in message_types().items()}
    # As JSON reads it again, where tuples are lists.
    layouts = json.loads(json.dumps({**layouts, LEASE: layout_of(LeaseRecord)}))
    return dict(layouts)


def layout_of(message_type: Any) -> Any:
    """Return the layout of a type on the wire, without the names of Python's types."""
    return _layout(msgspec.inspect.type_info(message_type))


def _layout(info: Any) -> Any:
    kind = type(info).__name__
    if kind in ("DataclassType", "StructType", "NamedTupleType"):
        is_array = kind == "NamedTupleType" or getattr(info, "array_like", False)
        fields = [_field_layout(field) for field in info.fields]
        if is_array:
            return {"array": fields}
        return {"map": {field.pop("name"): field for field in fields}}
    if kind == "EnumType":
        return {"enum": sorted(member.value for member in info.cls)}
    if kind == "UnionType":
        return {"any": sorted((_layout(item) for item in info.types), key=json.dumps)}
    if kind == "DictType":
        return {"keys": _layout(info.key_type), "values": _layout(info.value_type)}
    if kind == "VarTupleType":
        return {"items": _layout(info.item_type)}
    if kind == "TupleType":
        return {"array": [_layout(item) for item in info.item_types]}
    return kind.removesuffix("Type").lower()


def _field_layout(field: Any) -> dict[str, Any]:
    layout = {"name": field.encode_name, "type": _layout(field.type)}
    if not field.required:
        has_factory = field.default_factory is not msgspec.NODEFAULT
        default = field.default_factory() if has_factory else field.default
        layout["default"] = "inf" if default == float("inf") else to_value(default)
    return layout


def main() -> None:
    """Run the command that the first argument names."""
    command = sys.argv[1]
    if command == "record":
        result: Any = {
            "commit": sys.argv[2],
            "samples": encode_all(),
            "schemas": schemas(),
            "tunnel": tunnel_heads(),
        }
    elif command == "encode":
        result = encode_all()
    else:
        result = decode_all(json.load(sys.stdin))
    json.dump(result, sys.stdout, indent=1, sort_keys=True)
    print()


if __name__ == "__main__":
    main()

"""Settings of the entry VM's process, from flags and environment variables."""

from __future__ import annotations

import dataclasses
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

from coriandershelf_core import CoreSettings

ENVIRONMENT_PREFIX = "CORIANDERSHELF_"

HostPort = Annotated[str, StringConstraints(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class EntrySettings(BaseModel):
    """Addresses, limits and periods of the process."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    vm_id: str = Field(min_length=1, description="Name of this VM in the platform's list.")
    zone: str = Field(min_length=1, description="Availability zone of this VM.")
    listen: HostPort = Field(description="Address for callers, host:port.")
    peer_listen: HostPort = Field(description="Address for other entry VMs, host:port.")
    log_address: HostPort = Field(description="Address of the platform's log service.")
    platform_address: HostPort = Field(description="Address of the platform's VM list.")
    seed_peers: str = Field(
        "",
        description="Comma-separated peer addresses of some entry VMs, to start without a list.",
    )
    statsd_address: HostPort = Field("127.0.0.1:8125", description="Address of statsd.")
    operator_key_hash: str = Field(
        "", description="Hex SHA-256 of the operator's bearer key; if empty, operators are refused."
    )
    incarnation: int = Field(0, ge=0, description="Start count of this VM; 0 uses the start time.")
    drain_limit_s: float = Field(600.0, gt=0, description="Maximum duration of a graceful stop.")
    body_limit_bytes: int = Field(1 << 20, ge=1, description="Maximum size of a request body.")
    answer_buffer_payloads: int = Field(
        256, ge=1, description="Payloads buffered for a slow caller before reading stops."
    )
    poll_s: float = Field(2.0, gt=0, description="Polling interval of the platform's VM list.")
    tick_s: float = Field(0.05, gt=0, description="Period of the core's timer.")
    default_deadline_s: float = Field(
        600.0, gt=0, description="Deadline of requests that set none."
    )
    log_level: str = Field("info", pattern="^(debug|info|warning|error)$", description="Logs.")
    seed: int = Field(0, ge=0, description="Random seed; 0 chooses one at start.")
    disabled: str = Field(
        "",
        description="Comma-separated mechanisms to disable; for tests only, never in production.",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One setting as shown by the command line and the reference page."""

    name: str
    default: Any
    doc: str
    annotation: type[int] | type[float] | type[str]

    @property
    def flag(self) -> str:
        """Return the name of the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


def _type_of(annotation: object) -> type[int] | type[float] | type[str]:
    if annotation is int:
        return int
    return float if annotation is float else str


def list_settings() -> list[Setting]:
    """Return every setting of the process and of its core, in display order."""
    settings = []
    for name, info in EntrySettings.model_fields.items():
        default = None if info.is_required() else info.default
        settings.append(Setting(name, default, info.description or "", _type_of(info.annotation)))
    for item in dataclasses.fields(CoreSettings):
        annotation = float if str(item.type) == "float" else int
        settings.append(Setting(item.name, item.default, item.metadata["doc"], annotation))
    return settings


def check_settings(values: dict[str, Any]) -> tuple[EntrySettings, CoreSettings] | str:
    """Return the validated settings, or a one-line error message."""
    core_names = {item.name for item in dataclasses.fields(CoreSettings)}
    try:
        core = CoreSettings(**{name: values[name] for name in core_names if name in values})
        entry = EntrySettings(
            **{name: value for name, value in values.items() if name not in core_names}
        )
    except ValidationError as error:
        first = error.errors()[0]
        name = str(first["loc"][0])
        variable = ENVIRONMENT_PREFIX + name.upper()
        flag = "--" + name.replace("_", "-")
        return f"{flag} ({variable}): {first['msg']}; got {first['input']!r}"
    except ValueError as error:
        return str(error)
    return entry, core

"""Commands that publish: ``publish``, ``rollback`` and ``verdict``."""

from __future__ import annotations

import asyncio
import sys
import uuid

import click

from coriandershelf_operator.internal.http import RequestFailure
from coriandershelf_operator.internal.output import (
    EXIT_NEGATIVE,
    exit_unknown,
    inventory_argument,
    json_option,
    log_option,
    operator_option,
    print_progress,
    print_result,
    read_valid_files,
    rules_argument,
    wait_option,
)
from coriandershelf_operator.internal.platform_log import ConfigurationStream
from coriandershelf_operator.internal.publishing import (
    VerdictUnknown,
    exit_verdict_unknown,
    exit_with_verdict,
    find_verdict,
    make_proposal,
    publish,
)
from coriandershelf_wire import parse_or_none


@click.command("publish")
@inventory_argument
@rules_argument
@log_option
@click.option("--base", type=int, help="Version the change is based on; default: in force.")
@click.option("--publish-id", default=None, help="Id of an earlier attempt to repeat.")
@operator_option
@wait_option
@json_option
def publish_command(
    inventory: str,
    rules: str,
    log_address: str,
    base: int | None,
    publish_id: str | None,
    operator: str | None,
    wait_s: float,
    as_json: bool,
) -> None:
    """Publish a configuration and print its verdict, even if the log's response was lost."""
    texts = read_valid_files(inventory, rules, as_json)
    asyncio.run(_publish(log_address, base, publish_id, operator, texts, wait_s, as_json))


@click.command()
@click.argument("version", type=click.IntRange(min=1))
@log_option
@operator_option
@wait_option
@json_option
def rollback(
    version: int, log_address: str, operator: str | None, wait_s: float, as_json: bool
) -> None:
    """Publish the contents of an earlier VERSION as a new version."""
    asyncio.run(_rollback(version, log_address, operator, wait_s, as_json))


@click.command()
@click.argument("publish_id")
@log_option
@json_option
def verdict(publish_id: str, log_address: str, as_json: bool) -> None:
    """Show the verdict on an earlier publish."""
    asyncio.run(_verdict(publish_id, log_address, as_json))


async def _open_log(log_address: str, as_json: bool) -> ConfigurationStream:
    """Return the configuration stream, read to its end; exit if that is not possible."""
    stream = ConfigurationStream(log_address)
    failure = await stream.refresh()
    if failure is not None:
        text = f"nothing was published: the log does not answer ({failure.detail}); try again"
        exit_unknown({"verdict": "not-published", "detail": failure.detail}, as_json, text)
    if not stream.log.anchored:
        text = "nothing was published: the log holds no snapshot yet; try again in a minute"
        exit_unknown({"verdict": "not-published", "detail": "no snapshot"}, as_json, text)
    return stream


async def _publish(
    log_address: str,
    base: int | None,
    publish_id: str | None,
    operator: str | None,
    texts: tuple[str, str],
    wait_s: float,
    as_json: bool,
) -> None:
    stream = await _open_log(log_address, as_json)
    base_version = stream.version if base is None else base
    proposal = make_proposal(stream, publish_id or uuid.uuid4().hex, base_version, operator, texts)
    print_progress(f"publishing {proposal.publish_id} on version {base_version}")
    outcome = await publish(stream, proposal, wait_s, print_progress)
    if isinstance(outcome, VerdictUnknown):
        exit_verdict_unknown(proposal.publish_id, log_address, outcome, as_json)
    else:
        exit_with_verdict(stream, outcome, as_json)


async def _rollback(
    version: int, log_address: str, operator: str | None, wait_s: float, as_json: bool
) -> None:
    stream = await _open_log(log_address, as_json)
    texts = stream.texts_of(version)
    if texts is None:
        text = f"the log no longer holds the texts of version {version}; publish its files"
        print_result({"verdict": "not-published", "detail": text}, as_json, text)
        sys.exit(EXIT_NEGATIVE)
    if parse_or_none(*texts, version) is None:
        text = f"version {version} is not valid in this release; publish files instead"
        print_result({"verdict": "not-published", "detail": text}, as_json, text)
        sys.exit(EXIT_NEGATIVE)
    await _publish(log_address, stream.version, None, operator, texts, wait_s, as_json)


async def _verdict(publish_id: str, log_address: str, as_json: bool) -> None:
    stream = ConfigurationStream(log_address)
    result = await find_verdict(stream, publish_id)
    if isinstance(result, RequestFailure):
        text = f"not known yet: the log does not answer ({result.detail})"
        exit_unknown({"verdict": "not-known", "publish_id": publish_id}, as_json, text)
    if result is None:
        text = (
            f"the log does not show {publish_id}: it was not taken, or is older than the log's "
            "retention; publishing it again with --publish-id is safe"
        )
        exit_unknown({"verdict": "not-shown", "publish_id": publish_id}, as_json, text)
    exit_with_verdict(stream, result, as_json)

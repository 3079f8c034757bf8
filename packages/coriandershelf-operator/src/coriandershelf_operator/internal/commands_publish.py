"""Commands that publish: ``publish``, ``rollback`` and ``verdict``."""

from __future__ import annotations

import asyncio
import sys
import uuid

import click

from coriandershelf_operator.internal.http import NoAnswer
from coriandershelf_operator.internal.output import (
    EXIT_NO,
    end_not_known,
    inventory_argument,
    json_option,
    log_option,
    operator_option,
    progress,
    read_valid_files,
    rules_argument,
    show,
    wait_option,
)
from coriandershelf_operator.internal.platform_log import LogView
from coriandershelf_operator.internal.publishing import (
    NotKnown,
    end_verdict_not_known,
    end_with_verdict,
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
@click.option("--publish-id", default=None, help="Id of an earlier try to send again.")
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
    """Publish a configuration; tells accepted or conflict, also after a lost answer."""
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
    """Publish the texts of an earlier VERSION as a new version."""
    asyncio.run(_rollback(version, log_address, operator, wait_s, as_json))


@click.command()
@click.argument("publish_id")
@log_option
@json_option
def verdict(publish_id: str, log_address: str, as_json: bool) -> None:
    """Tell what became of an earlier publish."""
    asyncio.run(_verdict(publish_id, log_address, as_json))


async def _open(log_address: str, as_json: bool) -> LogView:
    """Return the log's state; end where it does not answer, as nothing was published yet."""
    view = LogView(log_address)
    failure = await view.refresh()
    if failure is not None:
        text = f"nothing was published: the log does not answer ({failure.detail}); try again"
        end_not_known({"verdict": "not-published", "detail": failure.detail}, as_json, text)
    if not view.log.anchored:
        text = "nothing was published: the log holds no snapshot yet; try again in a minute"
        end_not_known({"verdict": "not-published", "detail": "no snapshot"}, as_json, text)
    return view


async def _publish(
    log_address: str,
    base: int | None,
    publish_id: str | None,
    operator: str | None,
    texts: tuple[str, str],
    wait_s: float,
    as_json: bool,
) -> None:
    view = await _open(log_address, as_json)
    chosen = view.version if base is None else base
    proposal = make_proposal(view, publish_id or uuid.uuid4().hex, chosen, operator, texts)
    progress(f"publishing {proposal.publish_id} on version {chosen}")
    outcome = await publish(view, proposal, wait_s, progress)
    if isinstance(outcome, NotKnown):
        end_verdict_not_known(proposal.publish_id, log_address, outcome, as_json)
    else:
        end_with_verdict(view, outcome, as_json)


async def _rollback(
    version: int, log_address: str, operator: str | None, wait_s: float, as_json: bool
) -> None:
    view = await _open(log_address, as_json)
    texts = view.texts_of(version)
    if texts is None:
        text = f"the log no longer keeps the texts of version {version}; publish its files"
        show({"verdict": "not-published", "detail": text}, as_json, text)
        sys.exit(EXIT_NO)
    if parse_or_none(*texts, version) is None:
        text = f"version {version} is not valid for this release; publish files"
        show({"verdict": "not-published", "detail": text}, as_json, text)
        sys.exit(EXIT_NO)
    await _publish(log_address, view.version, None, operator, texts, wait_s, as_json)


async def _verdict(publish_id: str, log_address: str, as_json: bool) -> None:
    view = LogView(log_address)
    found = await find_verdict(view, publish_id)
    if isinstance(found, NoAnswer):
        text = f"not known yet: the log does not answer ({found.detail})"
        end_not_known({"verdict": "not-known", "publish_id": publish_id}, as_json, text)
    if found is None:
        text = (
            f"the log does not show {publish_id}: it was not taken, or is older than the log's "
            "retention; publishing it again with --publish-id is safe"
        )
        end_not_known({"verdict": "not-shown", "publish_id": publish_id}, as_json, text)
    end_with_verdict(view, found, as_json)

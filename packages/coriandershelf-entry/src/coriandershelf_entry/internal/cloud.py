"""HTTP client for scaling orders to upstreams and for the cloud's VM API.

Right before each send the clock is checked against the expiry of the lease: a process that was
paused after the decision must not act on it once another VM may hold the lease.
"""

from __future__ import annotations

import asyncio
import json

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from coriandershelf_core.internal.control.purchase_planning import Offer
from coriandershelf_core.internal.vocabulary.actions import SendOrder, StartVm, StopVm
from coriandershelf_core.internal.vocabulary.events import (
    CloudResponse,
    OffersRead,
    OrderAnswered,
    OrderFailed,
    StartAnswered,
    StopAnswered,
)
from coriandershelf_core.internal.vocabulary.inventory import PurchaseModel
from coriandershelf_entry.internal.clock import Clock
from coriandershelf_entry.internal.core_task import Post

CLOUD_TIMEOUT_S = 5.0
FENCED_STATUS = 409
REFUSED_STATUSES = (409, 429, 503)


async def send_order(
    client: AsyncHTTPClient, action: SendOrder, timeout_s: float, clock: Clock, post: Post
) -> None:
    """Send one order to an upstream and post its result."""
    body = json.dumps(
        {
            "order_id": action.order_id,
            "wanted": action.desired_state,
            "fencing_number": action.fencing_number,
        }
    )
    request = HTTPRequest(
        f"http://{action.address}/orders", method="POST", body=body, request_timeout=timeout_s
    )
    if clock() >= action.valid_until_s:
        post(OrderFailed(action.order_id))
        return
    try:
        await client.fetch(request)
    except HTTPClientError as error:
        if error.code == FENCED_STATUS:
            post(OrderAnswered(action.order_id, accepted=False))
        else:
            post(OrderFailed(action.order_id))
    except OSError:
        post(OrderFailed(action.order_id))
    else:
        post(OrderAnswered(action.order_id, accepted=True))


async def _call_cloud(client: AsyncHTTPClient, url: str, document: dict[str, str]) -> CloudResponse:
    request = HTTPRequest(
        url, method="POST", body=json.dumps(document), request_timeout=CLOUD_TIMEOUT_S
    )
    try:
        await client.fetch(request)
    except HTTPClientError as error:
        refused = error.code in REFUSED_STATUSES
        return CloudResponse.REFUSED if refused else CloudResponse.LOST
    except OSError:
        return CloudResponse.LOST
    return CloudResponse.ACCEPTED


async def start_vm(
    client: AsyncHTTPClient, address: str, action: StartVm, clock: Clock, post: Post
) -> None:
    """Ask the cloud to start a VM and post its response."""
    if clock() >= action.valid_until_s:
        return
    document = {
        "token": action.token,
        "service": action.service,
        "zone": action.zone,
        "machine_class": action.machine_class,
        "purchase": action.purchase,
    }
    response = await _call_cloud(client, f"http://{address}/cloud/start", document)
    post(StartAnswered(action.token, response))


async def stop_vm(
    client: AsyncHTTPClient, address: str, action: StopVm, clock: Clock, post: Post
) -> None:
    """Ask the cloud to stop a VM and post its response."""
    if clock() >= action.valid_until_s:
        return
    url = f"http://{address}/cloud/stop"
    response = await _call_cloud(client, url, {"token": action.token})
    post(StopAnswered(action.token, response))


async def poll_offers(client: AsyncHTTPClient, address: str, period_s: float, post: Post) -> None:
    """Read the cloud's VM offers every period; failed reads are skipped."""
    while True:
        try:
            response = await client.fetch(
                f"http://{address}/cloud/offers", request_timeout=CLOUD_TIMEOUT_S
            )
            offers = tuple(
                Offer(
                    item["zone"],
                    item["machine_class"],
                    PurchaseModel(item["purchase"]),
                    float(item["price_per_hour"]),
                    int(item["slots"]),
                )
                for item in json.loads(response.body)["offers"]
            )
            post(OffersRead(offers))
        except (HTTPClientError, OSError, ValueError, KeyError):
            pass
        await asyncio.sleep(period_s)

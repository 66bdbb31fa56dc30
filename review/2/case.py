"""The platform's store is silent for some seconds. When it answers again, the operator removes a route. Requests on that
route, sent later than the bound, are still run."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment as parts  # noqa: E402
from packets import End  # noqa: E402

_CALM_SECONDS = 7.0
_CYCLES = 4
_SILENT_SECONDS = 9.0
_CHANGE_AFTER_SECONDS = 0.9  # from the end of the silence
_WATCH_SECONDS = 3.0         # how long requests are judged after the bound
_REST_SECONDS = 1.5
_REQUESTS_PER_SECOND = 5.0   # of each client, on the route that is removed


async def _ask_on(deployment: parts.Deployment, client, route: End) -> None:
    """Sends single requests on one route, each on a flow of its own."""
    dice = random.Random(f"{client.settings.address}/{route.host()}")
    asked: set[asyncio.Task] = set()
    while True:
        await asyncio.sleep(dice.expovariate(_REQUESTS_PER_SECOND))
        task = asyncio.create_task(client.request_once(route))
        asked.add(task)
        task.add_done_callback(asked.discard)


async def _play_cycle(deployment: parts.Deployment, number: int, has_trouble: bool) -> list[float]:
    """Returns how late the requests were sent that were run on the removed route, from its removal."""
    route = End.of(f"198.18.1.{number}", 443)
    deployment.extra_routes.append((route, "orders"))
    deployment.configure()
    asking = [asyncio.create_task(_ask_on(deployment, client, route)) for client in deployment.clients]
    await asyncio.sleep(1.0)
    if has_trouble:
        deployment.silence_store()
    await asyncio.sleep(_SILENT_SECONDS)
    deployment.heal_store()
    healed_at = time.monotonic()
    await asyncio.sleep(_CHANGE_AFTER_SECONDS)
    deployment.extra_routes.clear()
    deployment.configure()
    removed_at = time.monotonic()
    # The core is stable, and the machines are in touch, once it has gone contact_ms without disruption.
    since = max(removed_at + parts.BOUNDS.config_apply, healed_at + parts.BOUNDS.contact)
    await asyncio.sleep(since + _WATCH_SECONDS - time.monotonic())
    for task in asking:
        task.cancel()
    await asyncio.gather(*asking, return_exceptions=True)
    await asyncio.sleep(_REST_SECONDS)
    sent = [opening.sent_at for opening in deployment.ledger.openings if opening.flow[1] == route]
    return [at - removed_at for at in sent if at > since]


async def play(deployment: parts.Deployment, has_trouble: bool) -> tuple[int, str]:
    """Returns the verdict."""
    deployment.start_traffic({"orders": 2.0, "drawings": 1.0})
    await asyncio.sleep(_CALM_SECONDS)
    late: list[float] = []
    broken_cycles = 0
    for number in range(1, _CYCLES + 1):
        found = await _play_cycle(deployment, number, has_trouble)
        broken_cycles += bool(found)
        late += found
    text = (f"{len(late)} requests were run on a removed route that machines in touch got later than "
            f"{parts.BOUNDS.config_apply:.0f} s after the removal was acknowledged, in {broken_cycles} of {_CYCLES} outages")
    if not late:
        return parts.HELD, text
    return parts.BROKEN, f"CONFIG broken: {text}; the latest was sent {max(late):.2f} s after it"


if __name__ == "__main__":
    sys.exit(parts.run_case(pathlib.Path(__file__).resolve().parent, play))

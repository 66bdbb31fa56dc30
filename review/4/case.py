"""An endpoint that crashed starts again while its announcements come some seconds late."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world2  # noqa: E402

_BOARDS = 120
_BOARD_PAUSE_SECONDS = 4.0
_LATE_SECONDS = 5.0


async def play(world: world2.Deployment) -> None:
    """The order of events; all announcements of one machine's endpoints come equally late, and in order, or not."""
    agent = world.agents[0]
    courier = world.couriers[agent.name]
    first = world.endpoints[agent.name]
    if world2.has_trouble():
        courier.delay_seconds = _LATE_SECONDS

    sent = courier.taken
    await world.until(lambda: courier.taken >= sent + 3, 10, "announcements")
    await asyncio.sleep(world.dice.uniform(0.05, 0.6))
    world.crash_endpoint(agent)
    await asyncio.sleep(0.5)
    second = await world.start_endpoint(agent)
    started_at = time.monotonic()
    await asyncio.sleep(0.3)
    for number in range(_BOARDS):
        world.spawn(world.clients[number % len(world.clients)].hold_board(world2.ROUTE, _BOARD_PAUSE_SECONDS))
    await asyncio.sleep(max(0.0, started_at + _LATE_SECONDS - 0.5 - time.monotonic()))
    held = world.record.held_by(second.incarnation)
    world.record.note(f"{len(held)} flows are open at {second.incarnation}")
    if len(held) < 3:
        raise world2.CannotRun("too few flows are open at the second endpoint")
    await asyncio.sleep(3)
    if not first.is_ended or second.is_ended:
        raise world2.CannotRun("the wrong endpoint lives")


if __name__ == "__main__":
    sys.exit(world2.run(__file__, play, "FLOW", balancers=2, agents={world2.SERVICE: world2.ENDPOINTS}))

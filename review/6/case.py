"""Two late announcements of a crashed endpoint open the gate of its successor, which has left."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world2  # noqa: E402

_REQUESTS_PER_SECOND = 30.0  # of each client
_LATE_SECONDS = 6.0
_SERVES_ON_SECONDS = 8.0     # drain_ms and some seconds


async def play(world: world2.Deployment) -> None:
    """The order of events; all heartbeats of one machine's endpoints come equally late, and in order, or not."""
    agent = world.agents[0]
    courier = world.couriers[agent.name]
    for client in world.clients:
        world.spawn(client.ask_for_ever(world2.ROUTE, _REQUESTS_PER_SECOND))
    if world2.has_trouble():
        courier.delay_seconds = _LATE_SECONDS
    taken = courier.taken
    await world.until(lambda: courier.taken >= taken + 4, 15, "heartbeats")
    await asyncio.sleep(world.dice.uniform(0.05, 0.6))

    world.crash_endpoint(agent)
    await asyncio.sleep(1.0)
    second = await world.start_endpoint(agent)
    await asyncio.sleep(1.0)
    # Planned work: the second endpoint leaves, without a word of draining, and serves on.
    if not await world.deregister(second):
        raise world2.CannotRun("the leave was not acknowledged")
    await asyncio.sleep(_SERVES_ON_SECONDS)
    if second.is_ended:
        raise world2.CannotRun("the second endpoint has ended")
    second.crash()


if __name__ == "__main__":
    sys.exit(world2.run(__file__, play, "DRAIN", balancers=2, agents={world2.SERVICE: world2.ENDPOINTS}))

"""A late announcement of a former incarnation opens the gate of an endpoint that has left."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world2  # noqa: E402

_REQUESTS_PER_SECOND = 30.0  # of each client
_WATCHED_SECONDS = 3.0       # after the late announcement


async def play(world: world2.Deployment) -> None:
    """The order of events; the last announcement of the first endpoint comes late, or not."""
    agent = world.agents[0]
    courier = world.couriers[agent.name]
    for client in world.clients:
        world.spawn(client.ask_for_ever(world2.ROUTE, _REQUESTS_PER_SECOND))

    if world2.has_trouble():
        courier.delay_seconds = 12.0
        await asyncio.wait_for(courier.held.wait(), 5)
        courier.delay_seconds = 0.0  # only this one is late
    world.crash_endpoint(agent)
    await asyncio.sleep(0.3)
    second = await world.start_endpoint(agent)
    await world.until(lambda: any(second.identifier in text for _, text in courier.delivered), 5,
                      "an announcement of the second endpoint")
    await asyncio.sleep(0.4)

    # Planned work: the second endpoint leaves, without a word of draining, and serves on; its agent is restarted.
    if not await world.deregister(second):
        raise world2.CannotRun("the leave was not acknowledged")
    await asyncio.sleep(0.1)
    await world.restart(agent)
    await asyncio.sleep(world2.BOUNDS.contact + 0.3)
    courier.release.set()
    await asyncio.sleep(_WATCHED_SECONDS)
    if second.is_ended:
        raise world2.CannotRun("the second endpoint has ended")
    second.crash()


if __name__ == "__main__":
    sys.exit(world2.run(__file__, play, "DRAIN", balancers=2, agents={world2.SERVICE: world2.ENDPOINTS}))

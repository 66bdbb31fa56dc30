"""A heartbeat of another writer, which names no endpoint, opens the gate of an endpoint that drains."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world2  # noqa: E402

_REQUESTS_PER_SECOND = 30.0   # of each client
_FOREIGN_AFTER_SECONDS = 2.8  # after the acknowledgement
_SERVES_ON_SECONDS = 5.0      # drain_ms and a little longer


async def play(world: world2.Deployment) -> None:
    """The order of events; the other writer calls once, or not."""
    agent = world.agents[0]
    endpoint = world.endpoints[agent.name]
    for client in world.clients:
        world.spawn(client.ask_for_ever(world2.ROUTE, _REQUESTS_PER_SECOND))
    await asyncio.sleep(3)

    # Planned work: the endpoint drains. It says so in each of its heartbeats until it ends.
    world.record.note(f"endpoint {endpoint.incarnation} says draining and serves on")
    if not await world.drain(endpoint):
        raise world2.CannotRun("the leave was not acknowledged")
    await asyncio.sleep(_FOREIGN_AFTER_SECONDS)
    if world2.has_trouble():
        # All that a heartbeat has, but for `born`: whoever wrote it, it names no endpoint.
        await world.call_as_other_writer(agent, "i-of-nobody", without="born")
    await asyncio.sleep(_SERVES_ON_SECONDS - _FOREIGN_AFTER_SECONDS)
    if endpoint.is_ended:
        raise world2.CannotRun("the endpoint has ended")
    endpoint.crash()


if __name__ == "__main__":
    sys.exit(world2.run(__file__, play, "DRAIN", balancers=2, agents={world2.SERVICE: world2.ENDPOINTS}))

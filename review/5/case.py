"""A balancer that is restarted as planned resets flows that it had saved under the former endpoint's incarnation."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world2  # noqa: E402

_BOARDS = 20
_BOARD_PAUSE_SECONDS = 0.8
_LATE_SECONDS = 5.0
_SAVING_SECONDS = 5.1  # between two looks of a balancer at what it has to save


async def play(world: world2.Deployment) -> None:
    """The order of events; the announcements of an endpoint that starts again are late for a while, or not."""
    record = world.record
    saved: dict[str, list[float]] = {}
    write = world.store.write

    def note_write(key: str, value: bytes, lease: int = 0) -> int:
        if key.startswith("flows/"):
            saved.setdefault(key, []).append(time.monotonic())
            record.note(f"a balancer saves its flows under {key}, {len(value)} bytes")
        return write(key, value, lease)

    world.store.write = note_write
    balancer = world.balancers[0]
    agent, other = world.agents
    courier = world.couriers[agent.name]

    for number in range(4):
        world.spawn(world.clients[number % 2].hold_board(world2.ROUTE, _BOARD_PAUSE_SECONDS))
    await world.until(lambda: saved, 15, "the first flows saved")
    saved_at = max(times[-1] for times in saved.values())

    # The endpoint crashes and is back at once; its first announcements are some seconds late.
    await asyncio.sleep(max(0.0, saved_at + _SAVING_SECONDS - 4.2 - time.monotonic()))
    world.crash_endpoint(agent)
    if world2.has_trouble():
        courier.delay_seconds = _LATE_SECONDS
    await asyncio.sleep(0.1)
    second = await world.start_endpoint(agent)
    started_at = time.monotonic()
    await asyncio.sleep(0.2)
    for number in range(_BOARDS):
        world.spawn(world.clients[number % 2].hold_board(world2.ROUTE, _BOARD_PAUSE_SECONDS))
    await asyncio.sleep(max(0.0, started_at + _LATE_SECONDS - 0.6 - time.monotonic()))
    courier.delay_seconds = 0.0
    await asyncio.sleep(max(0.0, started_at + _LATE_SECONDS + world2.BOUNDS.contact + 0.5 - time.monotonic()))

    # Planned work: the balancer is restarted.
    record.note(f"{len(record.held_by(second.incarnation))} flows are open at {second.incarnation}")
    await world.restart(balancer)
    await asyncio.sleep(5)


if __name__ == "__main__":
    sys.exit(world2.run(__file__, play, "FLOW", balancers=2, agents={"booking": 2}))

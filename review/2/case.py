"""An endpoint deregisters first and serves on; all processes are killed and start again; a heartbeat that the endpoint
had sent before it deregistered arrives seconds late."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment as parts  # noqa: E402

_CALM_SECONDS = 10.0       # longer than contact_ms: every machine is in touch
_BEAT_LATE_SECONDS = 4.3
_KILL_AFTER_SECONDS = 0.2  # from the acknowledgement
_DOWN_SECONDS = 0.4
_LINGER_SECONDS = 3.0      # "a little longer (at times many seconds)" after drain_ms


async def play(deployment: parts.Deployment, has_trouble: bool) -> tuple[int, str]:
    """Returns the verdict."""
    deployment.start_traffic({"orders": 12.0, "drawings": 2.0})
    await asyncio.sleep(_CALM_SECONDS)
    endpoint = deployment.endpoints["agent-orders-1"]
    endpoint.acknowledged_at.clear()
    await endpoint.acknowledged_at.wait()
    if has_trouble:
        endpoint.late_beats[endpoint.sent_beats + 1] = _BEAT_LATE_SECONDS
    await asyncio.sleep(parts.HEARTBEAT_SECONDS + 0.05)
    await endpoint.deregister_first()
    left_at = deployment.ledger.left_at(endpoint.incarnation)
    if left_at is None:
        raise parts.CannotRun("the deregistration was not acknowledged")
    in_touch_at = 0.0
    if has_trouble:
        await asyncio.sleep(_KILL_AFTER_SECONDS)
        in_touch_at = await deployment.kill_all(_DOWN_SECONDS) + parts.BOUNDS.contact
    await asyncio.sleep(left_at + parts.BOUNDS.drain + _LINGER_SECONDS - time.monotonic())
    endpoint.crash()
    await asyncio.sleep(0.5)
    late = parts.openings_after(deployment.ledger, endpoint.incarnation, max(left_at + parts.BOUNDS.drain, in_touch_at))
    latest = max((at - left_at for at in late), default=0.0)
    text = (f"{len(late)} openings reached {endpoint.incarnation} through machines in touch later than "
            f"{parts.BOUNDS.drain:.0f} s after its leave was acknowledged; "
            f"{len(endpoint.cut_short)} requests that it had begun ended with it")
    return (parts.BROKEN, f"DRAIN broken: {text}, the latest after {latest:.2f} s") if late else (parts.HELD, text)


if __name__ == "__main__":
    sys.exit(parts.run_case(pathlib.Path(__file__).resolve().parent, play))

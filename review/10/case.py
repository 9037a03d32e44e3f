"""A worker leaves, all processes of the system are killed at the same moment,
and a heartbeat that the worker sent before it left arrives late."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins_2 import BOUNDS, Deployment, call, config, route, run_case  # noqa: E402

REQUESTS = 60


async def case(record, trouble):
    deployment = Deployment(["front", "deep", "deep"], record)
    try:
        routes = [route("/deep/", "safe", "deep"), route("/front/", "safe", "front")]
        await deployment.start(config(routes, ["front", "deep"]))
        entry, _, machine = deployment.machines
        worker = deployment.worker_of(machine)
        for number in range(10):
            await call(record, entry, "GET", f"/deep/before-{number}")
        record.say(f"before it leaves, {machine.name} got {len(worker.arrivals)} of 10 requests")

        late = worker.beat_body("ready")  # sent now, arrives later
        worker.state = "leaving"
        status = await worker.tell("DELETE")
        acknowledged = time.monotonic()
        record.say(f"worker {machine.name}: its DELETE is answered {status}")
        await asyncio.sleep(0.5)
        if trouble:
            for each in deployment.machines:
                each.process.kill()
            for each in deployment.machines:
                each.process.wait()
            record.say("platform: all processes of the system are killed at the same moment")
            await asyncio.sleep(0.3)
            for each in deployment.machines:
                deployment.start_node(each)
        await deployment.wait_ready(deployment.machines)
        started = time.monotonic()
        status = await worker.tell("PUT", late)
        record.say(
            f"worker {machine.name}: the late heartbeat is answered {status}, "
            f"{time.monotonic() - acknowledged:.1f} s after the DELETE"
        )
        # All machines are in touch again, and drain_ms has passed.
        window = BOUNDS["stable_window_ms"] / 1000 + 0.5
        await asyncio.sleep(max(0, started + window - time.monotonic()))
        sent = time.monotonic()
        results = {}
        for number in range(REQUESTS):
            _, result = await call(record, entry, "GET", f"/deep/after-{number}")
            results[result] = results.get(result, 0) + 1
        allowed = acknowledged + BOUNDS["drain_ms"] / 1000
        late_runs = [at - acknowledged for at, _, _ in worker.arrivals if at > max(sent, allowed)]
        record.say(
            f"{REQUESTS} requests answered {results}; {len(late_runs)} reached the worker that "
            f"left, the first {min(late_runs, default=0):.1f} s after the acknowledgement"
        )
        return bool(late_runs)
    finally:
        keep = os.environ.get("KEEP_LOGS")
        deployment.stop(keep)


run_case(pathlib.Path(__file__).parent, case)

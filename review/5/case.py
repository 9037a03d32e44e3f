"""A worker leaves shortly after the node beside it was restarted, and a heartbeat
that it sent before arrives late."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import BOUNDS, Client, Worker, run, trouble  # noqa: E402

DELAY_S = 2.0  # of the late heartbeat
SERVES_ON_S = 9.0  # after the acknowledgement
TOUCH_S = BOUNDS["stable_window_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000


async def send_for(client, seconds):
    async def one(kind):
        method, path = ("POST", "/book/1") if kind else ("GET", "/look/1")
        await client.ask(path, method, deadline_ms=3000, body=b"x" * 100 * kind)

    tasks = []
    for number in range(int(seconds * 20)):
        tasks.append(asyncio.create_task(one(number % 2)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def case(deployment, record):
    await deployment.store.start()
    routes = [
        {"prefix": "/look/", "kind": "safe", "service": "deep"},
        {"prefix": "/book/", "kind": "unsafe", "service": "deep"},
    ]
    await deployment.store.configure(7, routes, ["front", "deep"])
    entry = deployment.add("front", "zone-a")
    owners = [deployment.add("deep", zone) for zone in ("zone-a", "zone-b")]
    workers = []
    for number, machine in enumerate(deployment.machines):
        machine.start()
        worker = Worker(record, machine, f"i-{number}", machine.service, work_s=0.2)
        workers.append(worker)
        await workers[-1].start(heartbeats=number != 1)
    owner, leaving = owners[0], workers[1]
    beats = asyncio.create_task(leaving.beat_for_ever())
    await deployment.wait_ready()
    await asyncio.sleep(5)
    load = asyncio.create_task(send_for(Client(record, entry), 17))

    # Planned restart of the node beside the worker.
    owner.signal(signal.SIGTERM)
    while owner.process.poll() is None:
        await asyncio.sleep(0.02)
    beats.cancel()
    owner.start()
    await deployment.wait_ready([owner])
    started = record.now()

    late = leaving.beat_text()
    if trouble():
        record.write(f"worker i-1 sends a heartbeat that is {DELAY_S} s on its way")
        delayed = asyncio.create_task(asyncio.sleep(DELAY_S))
    else:
        await leaving.beat(late)
    await asyncio.sleep(0.5)
    assert await leaving.leave() == 200
    acknowledged = record.now()
    if trouble():
        await delayed
        await leaving.beat(late)
    await asyncio.sleep(SERVES_ON_S - (record.now() - acknowledged))
    running = leaving.running
    await leaving.end()
    record.write(f"{running} requests were running at it")
    await load

    # Both machines are in touch from `bound` on, and drain_ms has passed.
    bound = max(acknowledged + DRAIN_S, started + TOUCH_S) + 0.2
    late_runs = []
    for line in (HERE / "record.txt").read_text().splitlines():
        if "worker i-1 (deep) arrival" in line and float(line.split()[0]) > bound:
            late_runs.append(line)
    if not late_runs:
        return []
    return [
        f"DRAIN: {len(late_runs)} requests reached the worker later than drain_ms "
        f"after the acknowledgement at {acknowledged:.3f} s: from "
        f"{late_runs[0].split()[0]} s to {late_runs[-1].split()[0]} s"
    ]


run(case, HERE)

"""The store turns some machines away, and serves the others and the operator, who
changes the configuration."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import BOUNDS, Client, Worker, run, trouble  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
MACHINES_PER_ZONE = 6
TURNED_AWAY_S = 9.0
# A store that turns machines away is in disruption, which stretches the bound.
BOUND_S = (BOUNDS["config_apply_ms"] + BOUNDS["max_skew_ms"]) / 1000
LOOK = {"prefix": "/look/", "kind": "safe", "service": "front"}
OLD = {"prefix": "/old/", "kind": "unsafe", "service": "deep"}
NEW = {"prefix": "/new/", "kind": "safe", "service": "deep"}


def readers(store):
    """Machines that have watched the configuration lately."""
    now = time.monotonic()
    return [machine for machine, at in store.watched_at.items() if now - at < 2.5]


async def case(deployment, record):
    store = deployment.store
    await store.start()
    await store.configure(7, [LOOK, OLD], ["front", "deep"])
    for zone in ZONES:
        for number in range(MACHINES_PER_ZONE):
            deployment.add("front" if number % 2 else "deep", zone)
    for number, machine in enumerate(deployment.machines):
        await store.start_for(machine)
        machine.start()
        await Worker(record, machine, f"i-{number}", machine.service).start()
    await deployment.wait_ready()
    await asyncio.sleep(8)

    chosen = readers(store)
    share = len(chosen) / len(deployment.machines)
    record.write(f"readers: {[machine.name for machine in chosen]}")
    if trouble():
        store.turn_away(chosen)
        record.write(f"the store resets {len(chosen)} machines, a share of {share:.2f}")
    began = record.now()
    await asyncio.sleep(0.1)
    await store.configure(9, [LOOK, NEW], ["front", "deep"])
    acknowledged = record.now()
    record.write("the store has acknowledged version 9: /old/ is gone, /new/ is there")

    others = [machine for machine in deployment.machines if machine not in chosen]
    clients = [Client(record, machine) for machine in others]
    stale = []  # times after the acknowledgement
    asked = 0
    while record.now() < began + TURNED_AWAY_S - 0.3:
        for client in clients:
            sent = record.now() - acknowledged
            _, missing = await client.ask("/new/1", deadline_ms=3000)
            _, dropped = await client.ask("/old/1", "POST", 3000, b"x" * 300)
            asked += 2 if sent > BOUND_S else 0
            stale += [sent] if missing and missing.status == 404 else []
            stale += [sent] if dropped and dropped.status == 200 else []
        await asyncio.sleep(0.2)
    store.turn_away([])
    if stale:
        record.write(
            f"handled by the older version: {len(stale)} requests, the last one "
            f"{stale[-1]:.1f} s after the acknowledgement"
        )
    late = [sent for sent in stale if sent > BOUND_S]
    if not late:
        return []
    return [
        f"CONFIG: {len(late)} of {asked} requests, sent {late[0]:.1f} to {late[-1]:.1f} s "
        f"after the acknowledgement to machines that the store serves, were handled by "
        f"the older version"
    ]


run(case, HERE)

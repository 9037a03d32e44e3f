"""A client sends a long header field, within the limit that the operator has set."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import (  # noqa: E402
    Client,
    KeptConnection,
    Worker,
    requests_in_progress,
    run,
    trouble,
)

MAX_HEADER_BYTES = 131072
FIELD_BYTES = 70000
SHORT_FIELD_BYTES = 200
IN_PROGRESS = 8


async def case(deployment, record):
    await deployment.store.start()
    routes = [
        {"prefix": "/look/", "kind": "safe", "service": "front"},
        {"prefix": "/book/", "kind": "unsafe", "service": "deep"},
    ]
    await deployment.store.configure(
        7, routes, ["front", "deep"], max_header_bytes=MAX_HEADER_BYTES
    )
    entry = deployment.add("front", "zone-a")
    for zone in ("zone-a", "zone-b"):
        deployment.add("deep", zone)
    for number, machine in enumerate(deployment.machines):
        machine.start()
        worker = Worker(record, machine, f"i-{number}", machine.service)
        worker.work_s = 1.0 if machine.service == "deep" else 0.03
        await worker.start()
    await deployment.wait_ready()
    await asyncio.sleep(5)

    client = Client(record, entry)
    bookings = await requests_in_progress(client, IN_PROGRESS, "/book/1")
    await asyncio.sleep(0.3)
    size = FIELD_BYTES if trouble() else SHORT_FIELD_BYTES
    record.write(f"a client sends a request with a field of {size} bytes")
    connection = await KeptConnection(client).open()
    field = ("X-Application-Context", "v" * size)
    status = await connection.ask("/look/1", more_headers=[field])
    answers = await asyncio.gather(*bookings)

    faults = []
    code = entry.process.poll()
    if code is not None:
        record.write(f"node {entry.name} ended by itself with code {code}")
    if answers.count(0) > 3:
        faults.append(
            f"LOST: {answers.count(0)} requests on kept connections were at workers, "
            f"and the connections were closed without an answer"
        )
    if not trouble() and status != 200:
        faults.append(f"the request with the short field was answered {status}")
    return faults


run(case, HERE)

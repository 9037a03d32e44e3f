"""The operator lowers the idle timeout while clients read answers slowly."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins_2 import (  # noqa: E402
    HOST,
    Deployment,
    call,
    config,
    connect,
    encode,
    new_id,
    request_headers,
    route,
    run_case,
)

CLIENTS = 6
DEADLINE_MS = 30000
ANSWER_BYTES = 12 << 20
BYTES_PER_S = 800_000
CHANGE_AFTER_S = 3
IDLE_TIMEOUT_MS = 2000


class SlowReader:
    """A client on a kept connection that reads its answer slowly, all the time."""

    def __init__(self, record, machine):
        self.record = record
        self.machine = machine
        self.received = 0
        self.expected = None
        self.cut = False  # the connection ended before the end of the answer

    async def run(self):
        reader, writer = await connect(self.machine.callers, 65536)
        # An earlier request on the same connection, which is therefore kept.
        for path in ("/small/x", "/large/x"):
            request = new_id()
            fields = [("Host", HOST), *request_headers(request, DEADLINE_MS)]
            self.record.write(f"client: sends {request} GET {path}")
            writer.write(encode(f"GET {path} HTTP/1.1", fields))
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            self.expected = int(head.split("content-length:")[1].split("\r\n")[0])
            self.received = 0
            while self.received < self.expected:
                try:
                    data = await reader.read(min(65536, self.expected - self.received))
                except OSError:
                    data = b""
                if not data:
                    self.cut = True
                    self.record.write(
                        f"client: {request} -> closed after {self.received} of {self.expected}"
                    )
                    writer.close()
                    return
                self.received += len(data)
                if path == "/large/x":
                    await asyncio.sleep(len(data) / BYTES_PER_S)
            self.record.write(f"client: {request} -> whole answer of {self.expected} bytes")
        writer.close()


async def case(record, trouble):
    deployment = Deployment(["front", "deep"], record)
    tasks = []
    try:
        routes = [
            route("/small/", "safe", "front", DEADLINE_MS),
            route("/large/", "safe", "deep", DEADLINE_MS),
        ]
        services = ["front", "deep"]
        await deployment.start(config(routes, services))
        entry, owner = deployment.machines
        for path in ["/small/warm", "/large/warm"] * 10:
            await call(record, entry, "GET", path)
        deployment.worker_of(owner).answer_bytes = ANSWER_BYTES
        readers = [SlowReader(record, entry) for _ in range(CLIENTS)]
        for reader in readers:
            tasks.append(asyncio.create_task(reader.run()))
            await asyncio.sleep(0.2)
        await asyncio.sleep(CHANGE_AFTER_S)
        limits = {"idle_timeout_ms": IDLE_TIMEOUT_MS} if trouble else {}
        await deployment.store.put("config", "main", config(routes, services, 9, limits))
        record.say(f"operator: version 9 is acknowledged, limits {limits or 'as before'}")
        await asyncio.gather(*tasks)
        cut = sum(1 for reader in readers if reader.cut)
        record.say(
            f"{CLIENTS} answers of {ANSWER_BYTES} bytes, read at {BYTES_PER_S} bytes a second: "
            f"{cut} cut; bytes received: {sorted(reader.received for reader in readers)}"
        )
        return cut > 3
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        deployment.stop()


run_case(pathlib.Path(__file__).parent, case)

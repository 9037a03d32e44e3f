"""A configuration has a route with a long prefix below another route."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standins_2 import Deployment, call, config, route, run_case  # noqa: E402

LONG_PREFIX = "/shop/" + "orders-" * 29 + "x/"  # 211 characters
SHORT_PREFIX = "/shop/orders/"
REQUESTS = 30


async def case(record, trouble):
    deployment = Deployment(["front", "front", "deep"], record)
    try:
        prefix = LONG_PREFIX if trouble else SHORT_PREFIX
        routes = [
            route("/shop/", "safe", "front"),
            route(prefix, "unsafe", "deep", name="r-orders"),
        ]
        # The first and only configuration, written before traffic starts.
        await deployment.start(config(routes, ["front", "deep"]))
        sent = {}
        results = {}
        for number in range(REQUESTS):
            machine = deployment.machines[number % 3]
            request, result = await call(record, machine, "POST", f"{prefix}{number}", 5000, b"1")
            sent[request] = machine
            results[result] = results.get(result, 0) + 1
            await asyncio.sleep(0.02)
        ran_by = {}
        for worker in deployment.workers:
            runs = sum(1 for _, request, _ in worker.runs if request in sent)
            service = worker.machine.service
            ran_by[service] = ran_by.get(service, 0) + runs
        record.say(
            f"{REQUESTS} requests on the route of {len(prefix)} characters, which names only the "
            f"service deep: run by service {ran_by}, results {results}"
        )
        return ran_by["front"] > 0
    finally:
        deployment.stop()


run_case(pathlib.Path(__file__).parent, case)

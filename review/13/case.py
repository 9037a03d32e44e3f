"""A route is added at a prefix that a slower route had: the nodes refuse its requests
for good, since they still expect the run time of the former route."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins_3 import HOST, Mesh, ask_once, main, route

FOLDER = pathlib.Path(__file__).resolve().parent
FORMER_SECONDS = 2.0  # run time of a request on the former route
LATER_SECONDS = 0.1  # and on the route that is added later
APPLY_SECONDS = 2.5  # config_apply_ms is 2,000
PAUSE = 0.1  # between two requests of the clients of one machine


async def run(request):
    former = "/former" in request.start
    await asyncio.sleep(FORMER_SECONDS if former else LATER_SECONDS)
    return 200, [], b"ok"


async def press(mesh, targets, seconds):
    """Sends requests to each target from all machines; returns the answers."""
    asked = {target: [] for target in targets}
    for _ in range(int(seconds / PAUSE)):
        for machine in mesh.machines:
            for target in targets:
                work = ask_once(mesh, machine, "GET", target, HOST, 5000)
                asked[target].append(asyncio.create_task(work))
        await asyncio.sleep(PAUSE)
    return {target: await asyncio.gather(*tasks) for target, tasks in asked.items()}


def share(answers):
    return sum(answer.status == 200 for answer in answers) / len(answers)


async def case(record, directory, trouble):
    mesh = Mesh(directory, record, {"front": 1, "deep": 2})
    try:
        first = route("look", "deep", "safe")
        former = route("report", "deep", "safe", timeout_ms=5000)
        later = route(
            "summary", "deep", "safe", timeout_ms=1000, path_prefix=former["path_prefix"]
        )
        await mesh.start([first, former], run)
        former_target = "/report/former" if trouble else "/report/1"
        before = await press(mesh, ["/look/1", former_target], 6)
        await mesh.configure([first])
        await asyncio.sleep(APPLY_SECONDS)
        removed = await press(mesh, ["/report/1"], 0.5)
        await mesh.configure([first, later])
        await asyncio.sleep(APPLY_SECONDS + 3)  # steady state: stable_window_ms
        after = await press(mesh, ["/look/1", "/report/1"], 20)
        for name, answers in (("first", before), ("removed", removed), ("added", after)):
            for target, of_target in answers.items():
                record(name, target, f"{share(of_target):.3f} of {len(of_target)} served")
        on_first, on_later = share(after["/look/1"]), share(after["/report/1"])
        text = (
            f"{on_later:.2f} of {len(after['/report/1'])} requests on the route that was "
            f"added later are served, {on_first:.2f} on the first route"
        )
        record(text)
        print(text)
        return [f"CONFIG: {text}"] if on_later < on_first / 4 else []
    finally:
        await mesh.stop()


sys.exit(main(FOLDER, case))

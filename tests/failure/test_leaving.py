"""Planned stops under load: no request in progress is aborted, and a draining
backend server gets no new work after NO_NEW_WORK_SECONDS."""

import json
import threading
import time

from harness import Mesh, http, plan, run_tests, wait_until

NO_NEW_WORK_SECONDS = 3.0


def start(directory, port):
    return Mesh("kwan", directory, base_port=port).start()


def entries(mesh):
    return ", ".join(w.callers for w in mesh.of("roomfront")[:2])


def backend_drains(checker, directory):
    with start(directory, 17000) as mesh:
        process, out = mesh.start_load(plan(entries(mesh), 9000))
        time.sleep(2)
        leaving = mesh.of("slotboard")[0]
        drain_start_ms = time.time() * 1000
        leaving.admin("drain=1")
        process.wait(timeout=60)
        report = json.loads(out.read_text())
        checker.check_runs(mesh, report)
        checker.check_answers(report)
        last = leaving.backend_status()["last_start_ms"]
        checker.require(
            last <= drain_start_ms + NO_NEW_WORK_SECONDS * 1000,
            f"the last work started {last - drain_start_ms:.0f} ms after the drain began",
        )


def node_stops_gracefully(checker, directory):
    with start(directory, 17200) as mesh:
        process, out = mesh.start_load(plan(entries(mesh), 8000))
        time.sleep(2)
        leaving = mesh.of("bookdesk")[0]
        leaving.stop_node()
        leaving.node_process.wait(timeout=30)
        checker.require(
            leaving.node_process.returncode == 0,
            f"the node exited with status {leaving.node_process.returncode}",
        )
        process.wait(timeout=60)
        report = json.loads(out.read_text())
        checker.check_runs(mesh, report)
        checker.check_answers(report)


def entry_stops_gracefully(checker, directory):
    """The entry that takes the requests is stopped: requests in progress are
    answered completely, later requests are refused as not run."""
    with start(directory, 17400) as mesh:
        entry = mesh.of("roomfront")[2]
        process, out = mesh.start_load(plan(entry.callers, 3000, retries=0))
        time.sleep(1.5)
        entry.stop_node()
        entry.node_process.wait(timeout=30)
        process.wait(timeout=60)
        report = json.loads(out.read_text())
        checker.check_runs(mesh, report)
        for stream in report["streams"]:
            for kind in ("unknown", "failed", "wrong"):
                checker.require(
                    stream[kind] == 0,
                    f"{stream['name']}: {stream[kind]} requests ended as {kind}",
                )


def long_work_is_finished(checker, directory):
    """Requests of two seconds are in progress when the stop begins, both at the
    stopping node and sent by it to other nodes. They take longer than the node
    announces that it is leaving, so a node that does not wait for them aborts
    them."""
    with start(directory, 17800) as mesh:
        leaving = mesh.of("songbook")[0]
        for worker in mesh.of("songbook"):
            worker.admin("slow-percent=500")
        answers = []

        def ask():
            answers.append(
                http(
                    "GET",
                    leaving.callers,
                    "/songbook/report",
                    headers={"Fulmarshelf-Caller": "staff"},
                )
            )

        threads = [threading.Thread(target=ask) for _ in range(20)]
        for thread in threads:
            thread.start()
        wait_until(
            lambda: sum(w.backend_status()["running"] for w in mesh.of("songbook")) == 20,
            "all 20 requests are running",
        )
        leaving.stop_node()
        for thread in threads:
            thread.join()
        leaving.node_process.wait(timeout=30)
        complete = sum(1 for status, _, _ in answers if status == 200)
        checker.require(
            complete == 20,
            f"{complete} of 20 got a complete answer: {answers[:2]}",
        )


def drain_with_platform_down(checker, directory):
    with start(directory, 17600) as mesh:
        mesh.platform_admin("silent=1")
        process, out = mesh.start_load(plan(entries(mesh), 8000))
        time.sleep(2)
        leaving = mesh.of("songbook")[1]
        leaving.stop_node()
        leaving.node_process.wait(timeout=30)
        process.wait(timeout=60)
        report = json.loads(out.read_text())
        checker.check_runs(mesh, report)
        checker.check_answers(report)


if __name__ == "__main__":
    run_tests(
        [
            backend_drains,
            node_stops_gracefully,
            entry_stops_gracefully,
            long_work_is_finished,
            drain_with_platform_down,
        ]
    )

"""Nodes with a route table: replaced instances, requests that were not run,
configurations that cannot be read or fetched, and a log pipe that is not read."""

import json
import os
import signal
import subprocess
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from harness import http, run_tests, wait_until
from mesh import BUILD
from route_mesh import RouteMesh

IN_FORCE_SECONDS = 3.0


def start(directory, port, **options):
    return RouteMesh(directory, port, **options).start()


def runs_of(mesh):
    total = {}
    for worker in mesh.workers:
        for key, count in worker.runs().items():
            total[key] = total.get(key, 0) + count
    return total


def ask_many(mesh, entry, target, prefix, count, method="GET"):
    """Sends from eight threads; returns {request id: (status, headers)}."""

    def one(number):
        name = f"{prefix}-{number}"
        code, headers, _ = mesh.ask(entry, target, name, method)
        return name, (code, headers)

    with ThreadPoolExecutor(8) as pool:
        return dict(pool.map(one, range(count)))


def check_outcomes(checker, mesh, answers, at_most_once):
    runs = runs_of(mesh)
    for name, (code, headers) in answers.items():
        count = runs.get(name, 0)
        if code in (408, 421, 429, 503):
            checker.require(count == 0, f"{name}: got {code} but ran {count} times")
        if code == 503:
            checker.require("Retry-After" in headers, f"{name}: 503, no Retry-After")
        if at_most_once:
            checker.require(count <= 1, f"{name} ran {count} times")


def replaced_instance(checker, directory):
    """An instance that restarts under another id runs no request addressed to its
    predecessor. Requests that it rejects run once, at another instance."""
    with start(directory, 19400) as mesh:
        entry, victim = mesh.of("front")[0], mesh.of("deep")[0]
        victim.admin("restart-as=second&mute=1")
        answers = ask_many(mesh, entry, "/book/1", "replaced", 60, "POST")
        check_outcomes(checker, mesh, answers, True)
        served = sum(1 for code, _ in answers.values() if code == 200)
        checker.require(served == 60, f"{served} of 60 requests succeeded")
        rejected = victim.backend_status()["misdirected"]
        checker.require(rejected > 0, "no request was addressed to the old instance")
        victim.admin("mute=0")
        wait_until(
            lambda: (victim.status() or {}).get("backend", {}).get("instance") == "second",
            "the node knows the new instance",
        )
        before = sum(victim.runs().values())
        ask_many(mesh, entry, "/book/1", "after", 60, "POST")
        checker.require(
            sum(victim.runs().values()) > before,
            "the new instance got no work",
        )


def refused_requests_run_at_another_instance(checker, directory):
    """A request that a backend server reports as not run may run at another one,
    even if it must not run twice."""
    with start(directory, 19600) as mesh:
        entry = mesh.of("front")[0]
        for worker in mesh.of("deep"):
            worker.admin("refuse=5")
        answers = ask_many(mesh, entry, "/book/1", "refused", 80, "POST")
        check_outcomes(checker, mesh, answers, True)
        served = sum(1 for code, _ in answers.values() if code == 200)
        checker.require(served >= 70, f"{served} of 80 requests succeeded")


def lost_answers_are_not_reported_as_not_run(checker, directory):
    """A request whose answer is lost has run: it is never reported as not run, and
    it runs again only if it may be repeated."""
    with start(directory, 19800) as mesh:
        entry = mesh.of("front")[0]
        for worker in mesh.workers:
            worker.admin("lose-answers=1")
        for target, method, once in (("/book/1", "POST", True), ("/look/1", "GET", False)):
            answers = ask_many(mesh, entry, target, f"lost{method}", 20, method)
            check_outcomes(checker, mesh, answers, once)


def unreadable_routes_keep_the_routes_in_force(checker, directory):
    with start(directory, 20000) as mesh:
        entry = mesh.of("front")[0]
        mesh.write_spec({"version": "zz", "routes": "none"})
        wait_until(
            lambda: all("unreadable" in (w.status() or {}) for w in mesh.workers),
            "every node reports that the newest routes cannot be read",
        )
        checker.require(
            mesh.ask(entry, "/look/1", "still")[0] == 200,
            "the old routes are no longer served",
        )
        code, out, _ = mesh.cli("status", "--node", entry.operator)
        checker.require(
            code == 0 and "cannot be read" in out,
            f"status does not report the unreadable routes: {out}",
        )
        version = mesh.write_routes([{"prefix": "/new/", "service": "deep", "safe": True}])
        wait_until(
            lambda: min(mesh.routes_in_force()) >= version,
            "the new routes are in force",
        )
        for worker in mesh.workers:
            checker.require(
                "unreadable" not in worker.status(),
                "a node still reports unreadable routes",
            )
        checker.require(
            mesh.ask(entry, "/new/1", "new")[0] == 200,
            "the new route is not served",
        )
        checker.require(
            mesh.ask(entry, "/look/1", "old")[0] == 404,
            "the removed route is still served",
        )


def check_in_force(checker, mesh, condition):
    version = mesh.write_routes([{"prefix": "/look/", "service": "front", "safe": True}])
    accepted = time.monotonic()
    wait_until(lambda: min(mesh.routes_in_force()) >= version, condition)
    elapsed = time.monotonic() - accepted
    checker.require(elapsed <= IN_FORCE_SECONDS, f"{condition} after {elapsed:.2f} s")


def routes_reach_nodes_without_the_store(checker, directory):
    """Versions spread from node to node if the store refuses some nodes, does not
    answer them, or has dropped the history that they watch."""
    with start(directory, 20200, apart=("front-1", "deep-2")) as mesh:
        mesh.platform_admin("second-refuses=1")
        check_in_force(checker, mesh, "routes in force at nodes that the store refuses")
        mesh.platform_admin("second-refuses=0&second-silent=1")
        check_in_force(checker, mesh, "routes in force at nodes that the store does not answer")
        mesh.platform_admin("second-silent=0&forget-history=1")
        check_in_force(checker, mesh, "routes in force after the store dropped its history")


def long_prefix_keeps_its_service(checker, directory):
    """A route with a long prefix below another one was left out of the table, so
    that its requests ran at the other one's service, as ones to repeat."""
    with start(directory, 10800) as mesh:
        for length in (211, 4000):
            prefix = "/look/" + "x" * (length - 7) + "/"
            routes = [
                {"prefix": "/look/", "service": "front", "safe": True},
                {"prefix": prefix, "service": "deep", "safe": False},
            ]
            version = mesh.write_routes(routes)
            wait_until(
                lambda version=version: mesh.routes_in_force() == [version] * 4,
                "the table is in force",
            )
            # The restarted node may get the table from another node.
            restarted = mesh.of("front")[1]
            restarted.stop_node(signal.SIGKILL)
            restarted.node_process.wait(timeout=30)
            restarted.start_node()
            wait_until(
                lambda: (restarted.status() or {}).get("phase") == "serving",
                "the restarted node serves",
            )
            for entry in mesh.workers:
                name = f"{entry.name}-{length}"
                answers = ask_many(mesh, entry, f"{prefix}1", name, 10, "POST")
                check_outcomes(checker, mesh, answers, at_most_once=True)
                served = sum(code == 200 for code, _ in answers.values())
                checker.require(served > 0, f"{name}: no request was served")
                for worker in mesh.of("front"):
                    wrong = sum(id in answers for id in worker.runs())
                    checker.require(wrong == 0, f"{name}: {wrong} ran at {worker.name}")


def leaving_instance_gets_no_work(checker, directory):
    with start(directory, 20400) as mesh:
        entry, leaving = mesh.of("front")[0], mesh.of("deep")[0]
        leaving.admin("drain=1")
        wait_until(
            lambda: (leaving.status() or {}).get("backend", {}).get("draining"),
            "the node knows that its instance is draining",
        )
        before = sum(leaving.runs().values())
        answers = ask_many(mesh, entry, "/book/1", "drain", 60, "POST")
        check_outcomes(checker, mesh, answers, True)
        served = sum(1 for code, _ in answers.values() if code == 200)
        checker.require(served == 60, f"{served} of 60 requests succeeded")
        checker.require(
            sum(leaving.runs().values()) == before,
            "the draining instance got new work",
        )


def requests_of_disconnected_callers_are_cancelled(checker, directory):
    """Work is cancelled once its caller has closed the connection."""
    with start(directory, 20600, run_ms=5000) as mesh:
        entry = mesh.of("front")[0]
        threading.Thread(
            target=mesh.ask, args=(entry, "/look/1", "gone"), kwargs={"timeout": 1.0}
        ).start()
        running = lambda: sum(w.backend_status()["running"] for w in mesh.of("front"))  # noqa: E731
        wait_until(lambda: running() == 1, "the request runs")
        wait_until(lambda: running() == 0, "the request is cancelled")
        checker.require(
            runs_of(mesh).get("gone") == 1,
            "the request did not run exactly once",
        )


def stopped_log_reader(checker, directory):
    """A log reader that stops reading does not block the node."""
    with start(directory, 20800) as mesh:
        worker = mesh.of("front")[0]
        worker.stop_node()
        worker.node_process.wait(timeout=30)
        settings = worker.write_settings()
        text = settings.read_text().replace(f"file = {worker.log_path()}\n", "")
        settings.write_text(text)
        reader, writer = os.pipe()
        worker.node_process = subprocess.Popen(
            [str(BUILD / "fulmarshelfd"), "--settings", str(settings)],
            stdout=writer,
            stdin=subprocess.DEVNULL,
        )
        os.close(writer)
        mesh.processes.append(worker.node_process)
        mesh.wait_ready()
        # Writes far more log lines than the pipe and the node's buffer can hold.
        for round_number in range(8):
            answers = ask_many(mesh, worker, "/look/1", f"log{round_number}", 400)
            for name, (code, headers) in answers.items():
                checker.require(code == 200, f"{name}: {code} {headers}")
        checker.require(
            http("GET", worker.operator, "/status")[0] == 200,
            "the node does not answer /status",
        )
        os.close(reader)


def view_of_backend_servers(checker, directory):
    with start(directory, 21000) as mesh:
        entry = mesh.of("front")[0]
        ask_many(mesh, entry, "/book/1", "view", 20, "POST")
        code, out, err = mesh.cli("backends", "--node", entry.operator)
        checker.require(code == 0, f"{code} {err}")
        for worker in mesh.workers:
            checker.require(worker.name in out, f"{worker.name} is not listed:\n{out}")
        code, out, _ = mesh.cli("backends", "--node", entry.operator, "--json")
        rows = {row["node"]: row for row in json.loads(out)}
        checker.require(rows["front-1"]["instance"] == "front-1-first", str(rows))
        checker.require(rows["deep-1"]["service"] == "deep", str(rows))
        checker.require(rows["deep-1"]["limit"] > 0, str(rows))


if __name__ == "__main__":
    run_tests(
        [
            replaced_instance,
            refused_requests_run_at_another_instance,
            lost_answers_are_not_reported_as_not_run,
            unreadable_routes_keep_the_routes_in_force,
            routes_reach_nodes_without_the_store,
            long_prefix_keeps_its_service,
            leaving_instance_gets_no_work,
            requests_of_disconnected_callers_are_cancelled,
            stopped_log_reader,
            view_of_backend_servers,
        ]
    )

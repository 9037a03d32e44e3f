"""A request that ends each backend server that runs it, and comes again and again
under new ids at all entries. Requests beside it, one of them a frequent one, must
be served."""

import itertools
import random
import signal
import threading
import time

from harness import run_tests, wait_until
from route_mesh import RouteMesh

CRASH_TARGET = "crash-me"
RESTART_SECONDS = 1.5
STABLE_WINDOW_SECONDS = 3.0
ALLOWED_RETRIES = 3
# Longest time for which an innocent request may be refused.
FEW_SECONDS = 6.0
SEED = 26


class CrashingMesh(RouteMesh):
    """Nodes whose backend servers end under some requests and start again."""

    def __init__(self, directory, base_port, workers, **options):
        super().__init__(directory, base_port, workers=workers, **options)
        self.crashes = []
        self.stopped = threading.Event()
        self.restarter = threading.Thread(target=self._restart)

    def backend_command(self, worker):
        number = getattr(worker, "starts", 0) + 1
        worker.starts = number
        command = list(super().backend_command(worker))
        command[command.index("--instance") + 1] = f"{worker.name}-{number}"
        return (*command, "--crash-target", CRASH_TARGET)

    def _restart(self):
        due = {}
        while not self.stopped.wait(0.01):
            for worker in self.workers:
                ended = worker.backend_process.poll() is not None
                if ended and worker not in due:
                    self.crashes.append(time.monotonic())
                    due[worker] = time.monotonic() + RESTART_SECONDS
                elif ended and time.monotonic() >= due[worker]:
                    del due[worker]
                    worker.start_backend()

    def __enter__(self):
        self.restarter.start()
        return self

    def __exit__(self, *arguments):
        self.stopped.set()
        self.restarter.join()
        super().__exit__(*arguments)


class Load:
    """Sends each kind of request at a steady rate from threads of its own."""

    def __init__(self, mesh, entries, kinds):
        self.answers = {kind: [] for kind in kinds}
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._send, args=(mesh, entries, kind, interval, number))
            for kind, (interval, threads) in kinds.items()
            for number in range(threads)
        ]

    def _send(self, mesh, entries, kind, interval, thread):
        order = random.Random(f"{SEED}-{kind}-{thread}")
        due = time.monotonic()
        for number in itertools.count():
            due += interval
            if self.stopped.wait(max(0, due - time.monotonic())):
                return
            target = {
                "crash": f"/look/{CRASH_TARGET}?page=2",
                "same": "/look/frequent",
                "other": f"/look/{thread}-{number}",
            }[kind]
            at = time.monotonic()
            code, headers, _ = mesh.ask(
                order.choice(entries), target, f"{kind}-{thread}-{number}"
            )
            self.answers[kind].append((at, code, headers))

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def served_share(self, kind, since=0.0):
        codes = [code for at, code, _ in self.answers[kind] if at >= since]
        return sum(1 for code in codes if code == 200) / max(1, len(codes))


KINDS = {"crash": (0.5, 1), "same": (0.1, 3), "other": (0.1, 4)}


def check_crashes(checker, mesh):
    """Of the runs that end a server, at most three begin later than the stable
    window after the third."""
    if len(mesh.crashes) <= 3:
        return
    bound = mesh.crashes[2] + STABLE_WINDOW_SECONDS
    later = [at for at in mesh.crashes if at > bound]
    checker.require(
        len(later) <= ALLOWED_RETRIES,
        f"{len(mesh.crashes)} servers ended, {len(later)} of them later than the "
        "stable window after the third",
    )


def crashing_request_is_not_sent_on(checker, directory):
    with CrashingMesh(directory, 12000, {"front": 4, "deep": 1}).start() as mesh:
        with Load(mesh, mesh.workers, KINDS) as load:
            time.sleep(15)
        check_crashes(checker, mesh)
        checker.require(len(mesh.crashes) >= 1, "no server ended")
        after = mesh.crashes[min(2, len(mesh.crashes) - 1)] + STABLE_WINDOW_SECONDS
        for kind in ("same", "other"):
            share = load.served_share(kind)
            checker.require(share >= 0.95, f"{kind}: {share:.3f} served")
            share = load.served_share(kind, after)
            checker.require(
                share >= 0.999, f"{kind}: {share:.4f} served after the stable window"
            )
        last = load.answers["crash"][-5:]
        for _, code, headers in last:
            checker.require(
                code == 500 and "Retry-After" not in headers,
                f"the crashing request got {code}",
            )


def simultaneous_copies_are_not_tried_at_once(checker, directory):
    """The request comes at several entries at the same time, so that all its crashes
    are simultaneous and it is tried again later."""
    with CrashingMesh(directory, 13900, {"front": 8, "deep": 1}).start() as mesh:
        with Load(mesh, mesh.workers, {"crash": (0.25, 6)}):
            time.sleep(2 * FEW_SECONDS)
        check_crashes(checker, mesh)


def restarted_node_knows_the_crashing_request(checker, directory):
    """Each node is restarted in turn after the request is known."""
    with CrashingMesh(directory, 12200, {"front": 4, "deep": 1}).start() as mesh:
        with Load(mesh, mesh.of("deep"), {"crash": (0.2, 1)}):
            wait_until(lambda: len(mesh.crashes) >= 3, "three servers have ended", 20)
            time.sleep(STABLE_WINDOW_SECONDS)
        for worker in mesh.workers:
            worker.stop_node(signal.SIGTERM)
            worker.node_process.wait()
            worker.start_node()
            wait_until(
                lambda w=worker: (w.status() or {}).get("phase") == "serving",
                "the node serves again",
            )
            time.sleep(1.0)
        before = len(mesh.crashes)
        with Load(mesh, mesh.workers, {"crash": (0.1, 1)}):
            time.sleep(5)
        ended = len(mesh.crashes) - before
        checker.require(ended == 0, f"{ended} servers ended after the restarts")


def crash_is_reported_while_no_other_request_arrives(checker, directory):
    """All nodes know of a crash before the server is back, although nothing is sent
    to it meanwhile."""
    with CrashingMesh(directory, 12800, {"front": 4, "deep": 1}).start() as mesh:
        code, _, _ = mesh.ask(mesh.of("deep")[0], f"/look/{CRASH_TARGET}", "once")
        checker.require(code == 502, f"the crashing request got {code}")
        deadline = time.monotonic() + RESTART_SECONDS / 2

        def crashes_known(worker):
            listed = worker.status()["quarantine"]
            return max((request["crashes"] for request in listed), default=0)

        while time.monotonic() < deadline:
            known = [crashes_known(worker) for worker in mesh.workers]
            if mesh.crashes and min(known) >= len(mesh.crashes):
                return
            time.sleep(0.02)
        checker.require(
            False, f"{len(mesh.crashes)} servers ended; crashes known: {known}"
        )


def frequent_request_survives_simultaneous_crashes(checker, directory):
    """All servers of a service end at once, each while it runs the same innocent
    request, as when a dependency or the power of a failure domain fails."""
    with CrashingMesh(directory, 13800, {"front": 4, "deep": 1}, run_ms=200).start() as mesh:
        with Load(mesh, mesh.workers, {"same": (0.05, 12)}) as load:
            time.sleep(1.5)
            for worker in mesh.of("front"):
                worker.backend_process.kill()
            wait_until(lambda: len(mesh.crashes) >= 4, "all servers have ended", 5)
            time.sleep(2 * FEW_SECONDS)
        share = load.served_share("same", mesh.crashes[3] + FEW_SECONDS)
        checker.require(
            share >= 0.99, f"{share:.3f} of the frequent requests served after the crashes"
        )


def operator_lists_and_releases_the_request(checker, directory):
    with CrashingMesh(directory, 12400, {"front": 3, "deep": 1}).start() as mesh:
        with Load(mesh, mesh.workers, {"crash": (0.1, 1)}):
            wait_until(lambda: len(mesh.crashes) >= 3, "three servers have ended", 20)
            time.sleep(STABLE_WINDOW_SECONDS)
        entry = mesh.of("deep")[0]
        code, out, err = mesh.cli("quarantine", "list", "--node", entry.operator)
        checker.require(
            code == 0 and "set-aside, 3 crashes" in out and CRASH_TARGET in out,
            f"the list does not show the request: {out}{err}",
        )
        digest = out.split()[0] if out else ""
        code, _, err = mesh.cli("quarantine", "release", digest, "--node", entry.operator)
        checker.require(code == 0, f"release ended with {code}: {err}")

        def shown_anywhere():
            return any(
                request["request"] == digest
                for worker in mesh.workers
                for request in worker.status()["quarantine"]
            )

        wait_until(lambda: not shown_anywhere(), "all nodes have released it", 5)
        code, _, _ = mesh.cli("quarantine", "release", digest, "--node", entry.operator)
        checker.require(code == 5, f"second release ended with {code}, not 5")
        code, _, _ = mesh.cli("quarantine", "release", "xyz", "--node", entry.operator)
        checker.require(code == 1, f"release of a malformed digest ended with {code}")


if __name__ == "__main__":
    run_tests(
        [
            crashing_request_is_not_sent_on,
            simultaneous_copies_are_not_tried_at_once,
            restarted_node_knows_the_crashing_request,
            crash_is_reported_while_no_other_request_arrives,
            frequent_request_survives_simultaneous_crashes,
            operator_lists_and_releases_the_request,
        ]
    )

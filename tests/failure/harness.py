"""Shared parts of the failure tests: a load plan, and checks that compare the
outcomes reported to callers with the requests that the backend servers ran."""

import pathlib
import sys
import tempfile
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))
from mesh import Mesh, http, stream_of, wait_until  # noqa: E402,F401


def plan(entries, duration_ms=6000, browse=60, reserve=30, retries=3, seed=1):
    return f"""[load]
seed = {seed}
duration-ms = {duration_ms}
warmup-ms = 0
entries = {entries}
[stream browse]
target = /roomfront/browse
caller = guest
rate = {browse}
parts = 1
patience-ms = 1000
[stream reserve]
method = POST
target = /roomfront/reserve
caller = staff
rate = {reserve}
ticket = yes
parts = 1
body-bytes = 100
patience-ms = 3000
retries = {retries}
"""


class Checker:
    def __init__(self):
        self.faults = []

    def require(self, condition, text):
        if not condition:
            self.faults.append(text)

    def check_runs(self, mesh, report, extra_runs=None):
        """No booking ran twice, and none that was reported as not-run ran at all."""
        runs = mesh.total_runs()
        for key, count in (extra_runs or {}).items():
            runs[key] = runs.get(key, 0) + count
        for (service, request), count in runs.items():
            if "-reserve-" in request:
                self.require(count <= 1, f"{request} ran {count} times at {service}")
        for stream in report["streams"]:
            for request in stream["not_run_ids"]:
                count = runs.get(("roomfront", request), 0)
                self.require(count == 0, f"{request} was reported as not-run but ran")

    def check_answers(self, report, all_answered=True):
        for stream in report["streams"]:
            name = stream["name"]
            self.require(
                stream["wrong"] == 0, f"{name}: {stream['wrong']} answers to other requests"
            )
            if all_answered:
                for kind in ("no_answer", "unknown", "failed"):
                    self.require(
                        stream[kind] == 0,
                        f"{name}: {stream[kind]} requests ended as {kind}",
                    )


def service_runs(worker):
    return {(worker.service, key): count for key, count in worker.runs().items()}


def run_tests(tests):
    """Runs each test in a separate directory; exits with 1 if any test failed."""
    failed = 0
    for test in tests:
        start = time.monotonic()
        checker = Checker()
        with tempfile.TemporaryDirectory(prefix="fulmarshelf-") as directory:
            try:
                test(checker, directory)
            except Exception:  # an exception counts as a failure
                checker.faults.append(traceback.format_exc())
        elapsed = time.monotonic() - start
        verdict = "FAIL" if checker.faults else "ok  "
        print(f"{verdict} {test.__name__} ({elapsed:.1f} s)", flush=True)
        for fault in checker.faults[:10]:
            print(f"     {fault}")
        failed += 1 if checker.faults else 0
    print(f"{len(tests) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)

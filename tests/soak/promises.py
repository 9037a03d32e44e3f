"""Checks of a soak: what must hold whatever the faults were."""

import collections
import dataclasses

STABLE_WINDOW_MS = 3000
LIMIT_WINDOW_MS = 4000
LIMIT_FACTOR = 1.5
LIMIT_BURST = 5
ALLOWED_RETRIES = 3
CRASHES_TO_KNOW = 3
NOT_RUN_STATUSES = (408, 421, 429, 503)
AT_MOST_ONCE = ("book",)


@dataclasses.dataclass
class Observation:
    """What clients, backend servers and the supervisor of a run have seen."""

    record: dict = dataclasses.field(default_factory=dict)
    faults: list = dataclasses.field(default_factory=list)
    limits: list = dataclasses.field(default_factory=list)  # (worker, rate, from, until)
    arrivals: dict = dataclasses.field(default_factory=dict)  # worker: times in ms
    runs: dict = dataclasses.field(default_factory=lambda: collections.defaultdict(list))

    def read_run_log(self, worker, lines):
        self.arrivals[worker] = []
        for line in lines:
            event, at, name = line.split(" ")
            if event == "arrival":
                self.arrivals[worker].append(int(at))
            else:
                self.runs[name].append((int(at), worker))


def violations(observation):
    """Returns a line for each broken promise."""
    return [
        *observation.faults,
        *_responses(observation),
        *_limits(observation),
        *_crashing_requests(observation),
    ]


def _responses(observation):
    for name, (kind, status, fault) in observation.record.items():
        if fault:
            yield fault
        if kind not in AT_MOST_ONCE:
            continue
        runs = observation.runs.get(name, [])
        if len(runs) > 1:
            yield f"{name} ran {len(runs)} times: {runs}"
        if status in NOT_RUN_STATUSES and runs:
            yield f"{name}: got {status} but ran: {runs}"


def _limits(observation):
    for worker, rate, began, ended in observation.limits:
        first = began * 1000 + STABLE_WINDOW_MS
        times = [at for at in observation.arrivals[worker] if first <= at < ended * 1000]
        allowed = LIMIT_FACTOR * rate * LIMIT_WINDOW_MS / 1000 + LIMIT_BURST
        for start in times:
            count = sum(1 for at in times if start <= at < start + LIMIT_WINDOW_MS)
            if count > allowed:
                yield f"{worker}: {count} requests in 4 s, {rate} a second named, from {start}"
                break


def _crashing_requests(observation):
    by_target = collections.defaultdict(list)
    for name, runs in observation.runs.items():
        if name.startswith("crash-"):
            by_target[name.rsplit("-", 1)[0]] += [at for at, _ in runs]
    for target, times in by_target.items():
        times.sort()
        if len(times) <= CRASHES_TO_KNOW:
            continue
        bound = times[CRASHES_TO_KNOW - 1] + STABLE_WINDOW_MS
        later = [at for at in times if at > bound]
        if len(later) > ALLOWED_RETRIES:
            yield (
                f"{target}: {len(times)} runs, {len(later)} later than the stable window "
                f"after the third: {times}"
            )

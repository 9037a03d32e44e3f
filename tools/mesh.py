"""Starts a mesh of real processes on loopback: the platform stand-in, nodes
and backend server stand-ins. The demo, the failure tests and the experiments
use it. Each process is stopped by its id."""

import configparser
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("FULMARSHELF_BUILD", ROOT / "build"))


# Added to all ports, so that two test runs can share a machine.
PORT_OFFSET = int(os.environ.get("FULMARSHELF_PORT_OFFSET", "0"))


def http(method, address, target, body=None, headers=None, timeout=5.0):
    """Makes an HTTP call; returns (status, headers, text), status 0 if unanswered."""
    request = urllib.request.Request(
        f"http://{address}{target}",
        data=body.encode() if body is not None else None,
        method=method,
        headers=headers or {},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()
    except OSError as error:
        return 0, {}, str(error)


def wait_until(condition, what, timeout=30.0, pause=0.05):
    """Polls until the condition holds; raises TimeoutError after the timeout, which
    only guards against a condition that never holds."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(pause)
    raise TimeoutError(f"waited {timeout} s for: {what}")


class Worker:
    """One VM: a node and its backend server."""

    def __init__(self, mesh, name, service, domain, region, port):
        self.mesh = mesh
        self.name = name
        self.service = service
        self.domain = domain
        self.region = region
        self.callers = f"127.0.0.1:{port}"
        self.backend_side = f"127.0.0.1:{port + 1}"
        self.peers = f"127.0.0.1:{port + 2}"
        self.operator = f"127.0.0.1:{port + 3}"
        self.backend = f"127.0.0.1:{port + 4}"
        self.advertised = None
        self.seeds = []
        self.node_process = None
        self.backend_process = None

    def log_path(self):
        return self.mesh.directory / f"{self.name}.log"

    def write_settings(self):
        lines = [
            "[node]",
            f"name = {self.name}",
            f"failure-domain = {self.domain}",
            f"region = {self.region}",
            "[addresses]",
            f"callers = {self.callers}",
            f"backend = {self.backend_side}",
            f"peers = {self.peers}",
            f"operator = {self.operator}",
        ]
        if self.advertised:
            lines.append(f"peers-advertised = {self.advertised}")
        lines += ["[platform]", f"address = {self.mesh.store_of(self)}"]
        if self.seeds:
            lines.append(f"seeds = {', '.join(self.seeds)}")
        lines += self.mesh.more_settings(self)
        lines += [
            "[log]",
            f"file = {self.log_path()}",
            f"level = {self.mesh.log_level}",
            "[policy]",
            f"mode = {self.mesh.policy}",
        ]
        path = self.mesh.directory / f"{self.name}.ini"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start_node(self):
        self.node_process = self.mesh.spawn(
            "fulmarshelfd", "--settings", self.write_settings(), name=self.name
        )

    def start_backend(self):
        self.backend_process = self.mesh.spawn(
            *self.mesh.backend_command(self), name=f"{self.name}-backend"
        )

    def status(self):
        code, _, text = http("GET", self.operator, "/status", timeout=2.0)
        return json.loads(text) if code == 200 else None

    def metrics(self):
        code, _, text = http("GET", self.operator, "/metrics", timeout=2.0)
        values = {}
        for line in text.splitlines() if code == 200 else []:
            if not line.startswith("#"):
                key, value = line.rsplit(" ", 1)
                values[key] = float(value)
        return values

    def admin(self, query):
        return http("POST", self.backend, f"/_admin?{query}")

    def backend_status(self):
        return json.loads(http("GET", self.backend, "/_admin")[2])

    def runs(self):
        code, _, text = http("GET", self.backend, "/_admin/runs")
        return json.loads(text) if code == 200 else {}

    def arrivals(self):
        """Times at which the instance stand-in received its requests, in ms."""
        return json.loads(http("GET", self.backend, "/_admin/arrivals")[2])

    def stop_node(self, sig=signal.SIGTERM):
        os.kill(self.node_process.pid, sig)


class Mesh:
    """A platform, nodes and backend servers."""

    def __init__(
        self,
        deployment,
        directory,
        workers=None,
        base_port=11000,
        policy="full",
        log_level="decisions",
        domains=3,
        regions=1,
        backends=True,
    ):
        base_port += PORT_OFFSET
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.deployment = deployment
        self.topology = ROOT / "examples" / deployment / "topology.ini"
        self.settings = ROOT / "examples" / deployment / "settings.ini"
        self.policy = policy
        self.log_level = log_level
        self.backends = backends
        self.platform = f"127.0.0.1:{base_port}"
        self.processes = []
        self.platform_process = None
        self.workers = []
        self._place(workers or self._default_workers(), base_port, domains, regions)

    def _default_workers(self):
        parser = configparser.ConfigParser(inline_comment_prefixes=(";",))
        parser.read(self.topology)
        services = [s.split()[1] for s in parser.sections() if s.startswith("service")]
        count = 4 if self.deployment == "rayat" else 3
        return {service: count for service in services}

    def _place(self, workers, base_port, domains, regions):
        port = base_port + 10
        for service, count in workers.items():
            for index in range(count):
                domain = index % domains
                self.workers.append(
                    Worker(
                        self,
                        f"{service}-{index + 1}",
                        service,
                        f"domain-{domain + 1}",
                        f"region-{domain % regions + 1}",
                        port,
                    )
                )
                port += 5

    def spawn(self, program, *arguments, name=None):
        log = open(self.directory / f"{name or program}.out", "ab")
        process = subprocess.Popen(
            [str(BUILD / program), *[str(a) for a in arguments]],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.processes.append(process)
        return process

    def of(self, service):
        return [w for w in self.workers if w.service == service]

    def store_of(self, worker):
        """Address of the platform's store for one node."""
        return self.platform

    def more_settings(self, worker):
        """Additional lines of a node's settings file."""
        return []

    def backend_command(self, worker):
        return (
            "backend_standin",
            "--topology",
            self.topology,
            "--service",
            worker.service,
            "--listen",
            worker.backend,
            "--node",
            worker.backend_side,
            "--seed",
            str(sum(worker.name.encode())),
        )

    def platform_command(self):
        return ("platform_standin", "--listen", self.platform)

    def start_platform(self):
        self.platform_process = self.spawn(*self.platform_command())
        wait_until(self._platform_is_up, "platform is up")

    def _platform_is_up(self):
        if self.platform_process.poll() is not None:
            raise RuntimeError("the platform stand-in ended; is its port taken?")
        return http("GET", self.platform, "/admin")[0] == 200

    def platform_admin(self, query=""):
        return json.loads(http("POST", self.platform, f"/admin?{query}")[2])

    def cli(self, *arguments, author="tester"):
        result = subprocess.run(
            [str(BUILD / "fulmarshelf"), *[str(a) for a in arguments]],
            capture_output=True,
            text=True,
            timeout=60,
            env={
                **os.environ,
                "FULMARSHELF_PLATFORM": self.platform,
                "USER": author,
            },
        )
        return result.returncode, result.stdout, result.stderr

    def apply_settings(self):
        code, out, err = self.cli(
            "settings", "apply", f"/{self.deployment}", self.settings
        )
        if code != 0:
            raise RuntimeError(
                f"settings were not accepted: apply of {self.settings} ended "
                f"with code {code}: {out}{err}"
            )

    def start(self, apply=True):
        try:
            self._start(apply)
        except BaseException:
            self.stop()
            raise
        return self

    def _start(self, apply):
        self.start_platform()
        if apply:
            self.apply_settings()
        for worker in self.workers:
            worker.start_node()
        for worker in self.workers if self.backends else []:
            worker.start_backend()
        self.wait_ready()

    def wait_ready(self, timeout=60.0):
        for worker in self.workers:
            wait_until(lambda w=worker: self._is_ready(w), f"{worker.name} is ready", timeout)

    def _is_ready(self, worker):
        status = worker.status()
        if status is None or status["phase"] != "serving":
            return False
        alive = {m["node"]: m for m in status["members"] if m["status"] == "alive"}
        others = [w for w in self.workers if w is not worker]
        if any(w.name not in alive for w in others):
            return False
        if self.backends:
            return status["backend"] is not None and all(
                alive[w.name]["service"] == w.service for w in others
            )
        return True

    def entries(self, service=None):
        chosen = self.of(service) if service else self.workers
        return ", ".join(w.callers for w in chosen)

    def run_load(self, plan, name="run"):
        path = self.directory / f"{name}.plan.ini"
        path.write_text(plan)
        out = self.directory / f"{name}.json"
        process = subprocess.run(
            [
                str(BUILD / "load"),
                "--plan",
                str(path),
                "--out",
                str(out),
                "--name",
                name,
            ],
            capture_output=True,
            text=True,
            timeout=900,
        )
        if process.returncode != 0:
            raise RuntimeError(process.stdout + process.stderr)
        report = json.loads(out.read_text())
        report["text"] = process.stdout
        return report

    def start_load(self, plan, name="run"):
        path = self.directory / f"{name}.plan.ini"
        path.write_text(plan)
        out = self.directory / f"{name}.json"
        process = self.spawn("load", "--plan", path, "--out", out, "--name", name)
        return process, out

    def total_runs(self):
        """Counts runs by (service, request id), summed over the backend servers."""
        total = {}
        for worker in self.workers:
            for key, count in worker.runs().items():
                total[(worker.service, key)] = (
                    total.get((worker.service, key), 0) + count
                )
        return total

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    os.kill(process.pid, signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            process.wait()
        self.processes = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()


def stream_of(report, name):
    return next(s for s in report["streams"] if s["name"] == name)

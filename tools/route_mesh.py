"""A mesh of real processes on loopback whose nodes use the interface of the users'
platform: a route table from the store, and backend servers with instance ids."""

import json
import pathlib
import sys

from mesh import PORT_OFFSET, Mesh, http

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "platform"))
from platform_config import config_document, config_path, request_headers  # noqa: E402

HOST = "shop.example"


class RouteMesh(Mesh):
    """Four nodes, two for each service; the nodes named in `apart` use the
    second address of the store."""

    def __init__(
        self,
        directory,
        base_port,
        apart=(),
        slots=8,
        run_ms=20,
        workers=None,
        tenants=None,
        bounds=(),
    ):
        super().__init__(
            "kwan",
            directory,
            workers=workers or {"front": 2, "deep": 2},
            base_port=base_port,
        )
        self.apart = apart
        self.tenants = tenants
        self.bounds = bounds
        self.slots = slots
        self.run_ms = run_ms
        self.second = f"127.0.0.1:{base_port + PORT_OFFSET + 1}"
        self.version = 0
        self.accepted_spec = None  # newest one that the store has accepted

    def platform_command(self):
        return (*super().platform_command(), "--second", self.second)

    def store_of(self, worker):
        return self.second if worker.name in self.apart else self.platform

    def more_settings(self, worker):
        return [
            "[interface]",
            "kind = platform",
            f"service = {worker.service}",
            f"backend-server = {worker.backend}",
            "[bounds]",
            "grace-s = 6",
            "repeat-ratio = 0.2",
            "repeat-window-s = 10",
            "repeat-slack = 48",
            *self.bounds,
        ]

    def backend_command(self, worker):
        return (
            "instance_standin",
            "--service",
            worker.service,
            "--instance",
            f"{worker.name}-first",
            "--listen",
            worker.backend,
            "--node",
            worker.backend_side,
            "--slots",
            self.slots,
            "--run-ms",
            self.run_ms,
        )

    def apply_settings(self):
        self.write_routes(
            [
                {"prefix": "/look/", "service": "front", "safe": True},
                {"prefix": "/book/", "service": "deep", "safe": False},
            ]
        )

    def write_routes(self, routes, timeout_ms=3000, max_body=65536, max_header=16384):
        """Writes the next version of the route table; returns its number."""
        self.version += 1
        services = ["front", "deep"]
        self.write_spec(
            config_document(
                self.version,
                HOST,
                routes,
                services,
                timeout_ms,
                max_body,
                max_header,
                self.tenants,
            )
        )
        return self.version

    def write_spec(self, spec):
        body = json.dumps({"metadata": {"name": "main"}, "spec": spec})
        create, replace = config_path(), config_path("main")
        code, _, text = http("PUT", self.platform, replace, body)
        if code == 404:
            code, _, text = http("POST", self.platform, create, body)
        if code != 200:
            raise RuntimeError(
                f"the store rejected the route table with status {code}: {text}"
            )
        self.accepted_spec = spec

    def ask(
        self,
        worker,
        target,
        request_id,
        method="GET",
        left_ms=3000,
        timeout=10,
        credential=None,
    ):
        headers = {"Host": HOST, **request_headers(request_id, left_ms, credential)}
        return http(method, worker.callers, target, None, headers, timeout)

    def routes_in_force(self):
        versions = []
        for worker in self.workers:
            settings = (worker.status() or {}).get("settings", [])
            found = [s["version"] for s in settings if s["path"] == "routes"]
            versions.append(found[0] if found else 0)
        return versions

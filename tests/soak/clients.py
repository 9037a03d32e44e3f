"""Clients of a soak. Each keeps its connection open until the node closes it, and
records what it saw: {request id: (kind, status or None, fault or None)}."""

import http.client
import itertools
import json
import socket
import threading
import time

from mesh import http as ask_once
from route_mesh import HOST, request_headers
from test_pipelining import Reader

TIME_LEFT_MS = 3000
SOCKET_TIMEOUT_SECONDS = 10
PIPELINED_REQUESTS = 3
UPLOAD_BYTES = 200 * 1024


class Clients:
    """Starts and stops the clients; holds the record of all of them."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.record = {}
        self.stopped = threading.Event()
        self.threads = []

    def start(self):
        for worker in self.mesh.workers:
            self._add(self._keep_connection, worker, "get", "/look/", "GET", None)
            self._add(self._keep_connection, worker, "book", "/book/", "POST", b"room 4")
            self._add(self._pipeline, worker)
        upload = b"u" * UPLOAD_BYTES
        for worker in self.mesh.workers[::2]:
            self._add(self._keep_connection, worker, "upload", "/upload/", "POST", upload)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def send_crashing(self, target, seconds, random_numbers):
        """Sends the same request again and again, at any entry."""
        entries = [random_numbers.choice(self.mesh.workers) for _ in range(1000)]
        self._add(self._repeat, target, entries, time.monotonic() + seconds)

    def _add(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _keep_connection(self, worker, kind, prefix, method, body):
        address, port = worker.callers.split(":")
        interval = 0.5 if kind == "upload" else 0.1
        connection = None
        for number in itertools.count():
            if self.stopped.wait(interval):
                return
            name = f"{kind}-{worker.name}-{number}"
            headers = {"Host": HOST, **request_headers(name, TIME_LEFT_MS)}
            try:
                if connection is None:
                    connection = http.client.HTTPConnection(
                        address, int(port), timeout=SOCKET_TIMEOUT_SECONDS
                    )
                connection.request(method, prefix + name, body, headers)
                response = connection.getresponse()
                text = response.read()
                self._note(name, kind, response.status, text)
                if response.will_close:
                    connection = None
            except (OSError, http.client.HTTPException):
                self.record[name] = (kind, None, None)
                connection.close()
                connection = None

    def _pipeline(self, worker):
        address, port = worker.callers.split(":")
        for number in itertools.count():
            if self.stopped.wait(0.5):
                return
            names = [
                f"pipe-{worker.name}-{number}-{place}" for place in range(PIPELINED_REQUESTS)
            ]
            for name in names:
                self.record[name] = ("pipe", None, None)
            try:
                with socket.create_connection(
                    (address, int(port)), timeout=SOCKET_TIMEOUT_SECONDS
                ) as link:
                    link.sendall(b"".join(self._head(name) for name in names))
                    reader = Reader(link)
                    for name in names:
                        response = reader.next()
                        if response is None:
                            break
                        status, _, body = response
                        self._note(name, "pipe", status, body)
            except (OSError, http.client.HTTPException):
                continue  # the record says that they were not answered

    @staticmethod
    def _head(name):
        lines = [f"GET /look/{name} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{key}: {text}" for key, text in request_headers(name, TIME_LEFT_MS).items()]
        return "\r\n".join([*lines, "", ""]).encode()

    def _repeat(self, target, entries, until):
        for number, entry in enumerate(entries):
            if self.stopped.wait(0.25) or time.monotonic() >= until:
                return
            name = f"{target}-{number}"
            headers = {"Host": HOST, **request_headers(name, TIME_LEFT_MS)}
            status, _, _ = ask_once(
                "GET", entry.callers, f"/look/{target}?page=2", None, headers
            )
            self.record[name] = ("crash", status or None, None)

    def _note(self, name, kind, status, text):
        fault = None
        if status == 200 and json.loads(text).get("id") != name:
            fault = f"{name}: got the response of {text!r}"
        self.record[name] = (kind, status, fault)

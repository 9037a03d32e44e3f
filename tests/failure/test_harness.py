"""The harness ends what it started, also when a mesh does not come up."""

import socket

from harness import Mesh, run_tests
from mesh import PORT_OFFSET


class FaultyMesh(Mesh):
    """Its settings are never accepted, when processes run already."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.seen = []

    def apply_settings(self):
        self.seen = list(self.processes)
        raise RuntimeError("settings were not accepted")


def failed_start_leaves_nothing(checker, directory):
    mesh = FaultyMesh("kwan", directory, base_port=19000)
    try:
        mesh.start()
        checker.require(False, "the start did not fail")
    except RuntimeError:
        pass
    checker.require(len(mesh.seen) == 1, "no process was started before the fault")
    for process in mesh.seen:
        checker.require(process.poll() is not None, f"{process.args} still runs")


def taken_port_is_said(checker, directory):
    with socket.socket() as other:
        other.bind(("127.0.0.1", 19200 + PORT_OFFSET))
        other.listen()
        try:
            Mesh("kwan", directory, base_port=19200).start()
            checker.require(False, "the start did not fail")
        except RuntimeError as fault:
            checker.require("port" in str(fault), str(fault))


if __name__ == "__main__":
    run_tests([failed_start_leaves_nothing, taken_port_is_said])

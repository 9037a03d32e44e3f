"""Runs an experiment file with each policy and prints a table; --out writes the
figures as JSON and a plot as PNG.

The baseline policy is the same program with `mode = baseline`: a first-in,
first-out queue, round robin, three retries at each hop and no shedding."""

import argparse
import configparser
import json
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))
from mesh import Mesh, stream_of  # noqa: E402

# Share of the goodput before the trigger that counts as recovered.
RECOVERED = 0.95


def read_experiment(path):
    parser = configparser.ConfigParser(inline_comment_prefixes=(";",))
    parser.read(path)
    return parser


def make_plan(parser, mesh, multiple, variant="plain"):
    setup = parser["experiment"]
    rate = float(setup["capacity-per-second"]) * multiple
    lines = []
    for section in parser.sections():
        if section == "experiment":
            continue
        left_out = setup.get("alone-without") if variant == "alone" else None
        if section == f"stream {left_out}":
            continue
        lines.append(f"[{section}]")
        for key, value in parser[section].items():
            if key == "share-percent":
                lines.append(f"rate = {round(rate * float(value) / 100)}")
            else:
                lines.append(f"{key} = {value}")
        if section == "load":
            lines.append(f"entries = {mesh.entries(setup['entries'])}")
    if "slow-service" in setup:
        for worker in mesh.of(setup["slow-service"]):
            lines += [
                f"[event slow-{worker.name}]",
                f"at-ms = {setup['slow-from-ms']}",
                f"address = {worker.backend}",
                f"target = /_admin?slow-percent={setup['slow-percent']}",
                f"[event well-{worker.name}]",
                f"at-ms = {setup['slow-to-ms']}",
                f"address = {worker.backend}",
                "target = /_admin?slow-percent=100",
            ]
    return "\n".join(lines) + "\n"


def recovery_seconds(report, setup):
    """Seconds from the end of the trigger until goodput, over a whole second, is
    back at RECOVERED of its share before the trigger; None without recovery."""
    bin_ms = report["bin_ms"]
    start = int(setup["slow-from-ms"]) // bin_ms
    end = int(setup["slow-to-ms"]) // bin_ms
    ok = [sum(b) for b in zip(*(s["ok_bins"] for s in report["streams"]))]
    sent = [sum(b) for b in zip(*(s["sent_bins"] for s in report["streams"]))]
    warm = report["warmup_ms"] // bin_ms
    before = sum(ok[warm:start]) / max(1, sum(sent[warm:start]))
    second = 1000 // bin_ms
    for index in range(end, len(ok) - second):
        served = sum(ok[index : index + second])
        asked = max(1, sum(sent[index : index + second]))
        if served / asked >= RECOVERED * before:
            return (index - end) * bin_ms / 1000
    return None


def crest_service(report, setup):
    """Share of each stream's requests during the demand peak served in time."""
    bin_ms = report["bin_ms"]
    first = int(setup["crest-from-ms"]) // bin_ms
    last = int(setup["crest-to-ms"]) // bin_ms
    result = {}
    for stream in report["streams"]:
        asked = max(1, sum(stream["sent_bins"][first:last]))
        result[stream["name"]] = sum(stream["ok_bins"][first:last]) / asked
    return result


def run_one(parser, policy, multiple, variant, port):
    setup = parser["experiment"]
    with tempfile.TemporaryDirectory(prefix="fulmarshelf-") as directory:
        with Mesh(
            setup["deployment"],
            directory,
            base_port=port,
            policy=policy,
            log_level="changes",
        ) as mesh:
            mesh.start()
            if variant == "one-slow":
                for worker in mesh.workers:
                    if worker.name == setup["slow-worker"]:
                        worker.admin(f"slow-percent={setup['slow-percent']}")
            report = mesh.run_load(make_plan(parser, mesh, multiple, variant))
            runs = mesh.total_runs()
            twice = sum(
                1
                for (_, key), count in runs.items()
                if count > 1 and ("-reserve-" in key or "-book-" in key)
            )
    seconds = (report["duration_ms"] - report["warmup_ms"]) / 1000
    row = {
        "policy": policy,
        "multiple": multiple,
        "variant": variant,
        "double_runs": twice,
        "goodput": sum(s["ok"] for s in report["streams"]) / seconds,
        "streams": {
            s["name"]: {
                k: s[k]
                for k in (
                    "sent",
                    "ok",
                    "late",
                    "wrong",
                    "failed",
                    "not_run",
                    "unknown",
                    "no_answer",
                    "p50_ms",
                    "p99_ms",
                )
            }
            for s in report["streams"]
        },
        "ok_bins": [sum(b) for b in zip(*(s["ok_bins"] for s in report["streams"]))],
        "sent_bins": [
            sum(b) for b in zip(*(s["sent_bins"] for s in report["streams"]))
        ],
    }
    if "slow-from-ms" in setup:
        row["recovery_s"] = recovery_seconds(report, setup)
    if "crest-from-ms" in setup:
        row["crest"] = crest_service(report, setup)
    return row


def print_row(row):
    streams = "  ".join(
        f"{name}: {s['ok']}/{s['sent']} ok, p99 {s['p99_ms']:.0f} ms"
        for name, s in row["streams"].items()
    )
    extra = ""
    if "recovery_s" in row:
        extra += f"  recovery {row['recovery_s']} s"
    if "crest" in row:
        extra += "  crest " + ", ".join(
            f"{k} {v:.0%}" for k, v in row["crest"].items()
        )
    print(
        f"{row['policy']:9} x{row['multiple']:<4} {row['variant']:9} "
        f"goodput {row['goodput']:7.1f}/s  double runs {row['double_runs']}  "
        f"{streams}{extra}",
        flush=True,
    )


def plot(rows, path):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axis = plt.subplots(figsize=(8, 4.5))
    multiples = sorted({row["multiple"] for row in rows})
    for policy in ("full", "baseline"):
        chosen = [row for row in rows if row["policy"] == policy]
        if len(multiples) > 1:
            axis.plot(
                [r["multiple"] for r in chosen],
                [r["goodput"] for r in chosen],
                marker="o",
                label=policy,
            )
            axis.set_xlabel("demand over capacity")
        else:
            for row in chosen:
                axis.plot(
                    [i / 10 for i in range(len(row["ok_bins"]))],
                    [10 * n for n in row["ok_bins"]],
                    label=f"{policy} {row['variant']}",
                )
            axis.set_xlabel("arrival time (s)")
    axis.set_ylabel("complete responses in time (1/s)")
    axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("experiment")
    parser.add_argument("--out", help="folder for JSON and PNG")
    parser.add_argument("--policies", default="full,baseline")
    parser.add_argument("--multiples")
    parser.add_argument("--port", type=int, default=20000)
    options = parser.parse_args()
    experiment = read_experiment(options.experiment)
    setup = experiment["experiment"]
    multiples = [
        float(m) for m in (options.multiples or setup["multiples"]).split(",")
    ]
    variants = [v.strip() for v in setup.get("variants", "plain").split(",")]
    rows = []
    start = time.monotonic()
    for multiple in multiples:
        for variant in variants:
            for policy in options.policies.split(","):
                rows.append(
                    run_one(experiment, policy, multiple, variant, options.port)
                )
                print_row(rows[-1])
    name = pathlib.Path(options.experiment).stem
    print(f"{name}: {time.monotonic() - start:.0f} s")
    if options.out:
        folder = pathlib.Path(options.out)
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"{name}.json").write_text(json.dumps(rows, indent=1) + "\n")
        plot(rows, folder / f"{name}.png")


if __name__ == "__main__":
    main()

"""Second stage of utils/quickstart: runs a small mesh on loopback under a short load.

Every step is checked; the exit status is 0 only if all of them succeed.
"""

import os
import signal
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "benchmarks"))

from cases.load import phase, run_load  # noqa: E402
from cases.mesh import Mesh, Service, configuration, start_platform  # noqa: E402
from cases.processes import BIN, CaseError, Processes  # noqa: E402
from cases.state import publish  # noqa: E402

# Catalogue has one backend server and pricing two; every call of catalogue calls pricing.
SERVICES = [
    Service("catalogue", upstreams=1, slots=40, service_time_ms=5.0, calls=["pricing"],
            queue_bound=40),
    Service("pricing", upstreams=2, slots=5, service_time_ms=20.0, queue_bound=10),
]
CAPACITY_PER_S = 500.0


def print_line(text):
    print(text, flush=True)


def send_load(processes, mesh):
    """Offers half of the capacity, then twice the capacity; callers retry immediately."""
    kinds = [("important", 0.3, 0.3), ("normal", 0.1, 0.7), ("bulk", 0.1, 1.0)]
    classes = [{"name": name, "service": "catalogue", "path": f"/{name}", "organisation": "large",
                "deadline_ms": 1000, "retries": 3} for name, _, _ in kinds]
    quiet = {name: part * CAPACITY_PER_S for name, part, _ in kinds}
    surge = {name: part * CAPACITY_PER_S for name, _, part in kinds}
    plan = {"targets": [node.host for node in mesh.nodes], "threads": 2, "connections": 500,
            "classes": classes,
            "phases": [phase("half load", 4, **quiet), phase("overload", 5, **surge)]}
    return run_load(processes, "quickstart", plan)


def print_summary(results):
    print_line(f"\n{'phase':<10} {'class':<10} {'offered':>8} {'useful':>8} {'part':>7} "
               f"{'p50 ms':>8} {'p99 ms':>8}  refusals")
    for row in results.classes:
        part = 100.0 * row["useful"] / max(1, row["offered"])
        latency = row["latency_ms"]
        refusals = ", ".join(f"{code}: {count}" for code, count in row["refusals"].items())
        print_line(f"{row['phase']:<10} {row['class']:<10} {row['offered']:>8} {row['useful']:>8} "
                   f"{part:>6.1f}% {latency['p50']:>8.1f} {latency['p99']:>8.1f}  {refusals}")
    foreign = results.summary["foreign_answers"]
    print_line(f"\nanswers that belong to another call: {foreign}")


def show_status(mesh):
    command = [os.path.join(BIN, "acaciactl"), "status", "--daemon", mesh.nodes[0].url]
    done = subprocess.run(command, capture_output=True, text=True, timeout=20, check=False)
    if done.returncode != 0:
        raise CaseError(f"acaciactl status ended with {done.returncode}: {done.stderr}")
    print_line(done.stdout)


def check_results(results):
    """Checks that hold on any machine that can run the mesh."""
    if results.summary["foreign_answers"] or results.summary["cut_answers"]:
        raise CaseError("a caller got a truncated answer or an answer to another call")
    if results.success("half load") < 0.95:
        raise CaseError("too many calls failed at half of the capacity")
    if results.success("overload", "important") < results.success("overload", "bulk"):
        raise CaseError("important calls were shed before bulk ones")


def stop(processes, mesh):
    """Stops the backend servers, then the daemons; each must exit with status 0."""
    for process in [node.standin for node in mesh.nodes] + [node.daemon for node in mesh.nodes]:
        process.send(signal.SIGTERM)
        status = process.wait(40)
        if status != 0:
            raise CaseError(f"{process.name} ended with status {status}: {process.err_tail()}")
    processes.stop_all()


def run(processes):
    platform, platform_url = start_platform(processes)
    print_line(f"the stand-in platform listens on {platform_url}")
    if publish(processes, configuration(SERVICES), platform_url) != 0:
        raise CaseError("the configuration was not published")
    print_line("the configuration is published")
    mesh = Mesh(processes, platform_url=platform_url)
    mesh.add_services(SERVICES)
    mesh.wait_ready(mesh.nodes, "catalogue")
    for node in mesh.nodes:
        print_line(f"daemon {node.name}: {node.url}, with a backend server of "
                   f"{node.service.name}")
    print_line("applying load for nine seconds")
    results = send_load(processes, mesh)
    print_summary(results)
    show_status(mesh)
    check_results(results)
    stop(processes, mesh)
    if not platform.running():
        print_line("all daemons and backend servers drained and ended cleanly")


def main():
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    try:
        with Processes() as processes:
            run(processes)
    except CaseError as error:
        print(f"quickstart: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Cost of the control plane, configuration propagation, data centre partitions, and decisions."""

import json
import os
import re
import signal
import subprocess
import threading
import time

from .load import finish_load, phase, start_load
from .mesh import Mesh, Service, configuration, start_platform, write_configuration
from .processes import BIN, CaseError, http, wait_for
from .state import publish
from .verdicts import note, ratio, verdict


def generations(nodes):
    """The generation in force in each daemon; -1 for a daemon that does not answer."""
    found = []
    for node in nodes:
        status = node.status()
        found.append(status["generation"] if status else -1)
    return found


def start_mesh(processes, count, platform_url, data_centres=("local",)):
    mesh = Mesh(processes, platform_url=platform_url, threads=1)
    for number in range(count):
        mesh.add_node(f"n{number}", data_centres[number % len(data_centres)])
        if number % 10 == 9:
            mesh.wait_listening(mesh.nodes[-1])
    for node in mesh.nodes:
        mesh.wait_listening(node)
    return mesh


class GenerationMonitor:
    """Polls all daemons and records when each generation was in force in all of them."""

    def __init__(self, nodes):
        self.nodes = nodes
        self.highest = [0] * len(nodes)
        self.reversions = 0
        self.reached_all_at = {}
        self.running = True
        self.threads = [threading.Thread(target=self.poll, args=(start,))
                        for start in range(4)]
        for thread in self.threads:
            thread.start()

    def poll(self, start):
        while self.running:
            for index in range(start, len(self.nodes), 4):
                status = self.nodes[index].status()
                if status is None:
                    continue
                if status["generation"] < self.highest[index]:
                    self.reversions += 1
                self.highest[index] = max(self.highest[index], status["generation"])
            lowest = min(self.highest)
            for generation in range(1, lowest + 1):
                self.reached_all_at.setdefault(generation, time.monotonic())
            time.sleep(0.02)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()


ROUNDS = 8
PUBLISHERS = 2


def config_spread(processes, options):
    count = options.daemons or 40
    services = [Service("back", upstreams=1, slots=10, service_time_ms=1.0)]
    platform, platform_url = start_platform(processes)
    if publish(processes, configuration(services), platform_url) != 0:
        raise CaseError("the first configuration was not published")
    mesh = start_mesh(processes, count, platform_url)
    wait_for(lambda: min(generations(mesh.nodes)) >= 1, 30,
             "the first generation in force in all daemons")
    monitor = GenerationMonitor(mesh.nodes)
    accepted = [0]
    times = {}
    lock = threading.Lock()

    def run_publisher(number, round_number):
        objects = configuration(
            services, limits={"spare_attempts": 1 + (round_number * PUBLISHERS + number) % 9})
        begin = time.monotonic()
        status = publish(processes, objects, platform_url, f"set-{number}",
                         f"r{round_number}-{number}")
        if status == 0:
            with lock:
                accepted[0] += 1
                times.setdefault(round_number, []).append((begin, time.monotonic()))

    try:
        for round_number in range(ROUNDS):
            if round_number % 2 == 1:
                http("POST", f"{platform_url}/fault?kind=lost&scope=writes&count=1")
            publishers = [threading.Thread(target=run_publisher, args=(number, round_number))
                          for number in range(PUBLISHERS)]
            for thread in publishers:
                thread.start()
            for thread in publishers:
                thread.join()
            time.sleep(3.5)
    finally:
        monitor.stop()
    final = generations(mesh.nodes)
    # Each accepted publication creates one generation after the first; a lost one creates none.
    lost = accepted[0] - (max(final) - 1)
    ends = sorted(end for pairs in times.values() for _, end in pairs)
    delays = []
    for number, end in enumerate(ends):
        reached = monitor.reached_all_at.get(2 + number)
        delays.append(None if reached is None else max(0.0, reached - end))
    note(accepted=accepted[0], generations=sorted(set(final)), delays_s=delays)
    missing = sum(1 for delay in delays if delay is None)
    longest = max((delay for delay in delays if delay is not None), default=None)
    value = {"longest_s": longest, "reversions": monitor.reversions, "lost": lost + missing}
    passed = (longest is not None and longest <= 3.0 and monitor.reversions == 0
              and value["lost"] == 0)
    return verdict(value, "s; counts", {"longest_s": 3.0, "reversions": 0, "lost": 0},
                   {"daemons": count, "publications": accepted[0]}, passed)


def partition(processes, options):
    """Isolates one of three data centres by pausing the other two and the platform."""
    service = Service("back", upstreams=2, slots=20, service_time_ms=20.0, queue_bound=20)
    names = ("dc-1", "dc-2", "dc-3")
    objects = configuration([service], data_centres=names)
    platform, platform_url = start_platform(processes)
    if publish(processes, objects, platform_url) != 0:
        raise CaseError("the configuration was not published")
    mesh = Mesh(processes, platform_url=platform_url)
    by_centre = {name: mesh.add_services([service], data_centre=name, prefix=f"{name}-")
                 for name in names}
    mesh.wait_ready(mesh.nodes, "back")
    inside = by_centre["dc-1"]
    outside = by_centre["dc-2"] + by_centre["dc-3"]
    # 90% of the capacity of the data centre's own two servers; the rest absorbs the variance of
    # the random arrivals.
    rate = 0.9 * service.capacity() * options.load
    kind = {"name": "calls", "service": "back", "path": "/normal", "organisation": "large",
            "rate": rate, "deadline_ms": 1000}
    load = start_load(processes, "partition",
                      {"targets": [node.host for node in inside], "threads": 2, "seed": options.seed,
                       "classes": [kind],
                       "phases": [phase("before", 6), phase("cut", 12), phase("healed", 8)]})
    time.sleep(6)
    paused = [node.daemon for node in outside] + [node.standin for node in outside] + [platform]
    for process in paused:
        process.send(signal.SIGSTOP)
    time.sleep(12)
    for process in paused:
        process.send(signal.SIGCONT)
    healed = time.monotonic()
    # A change published right after the heal must reach every daemon, and every daemon must see
    # all members again.
    objects = configuration([service], data_centres=names, limits={"spare_attempts": 2})
    if publish(processes, objects, platform_url, "set-after") != 0:
        raise CaseError("the platform accepted no publication after the heal")

    def converged():
        for node in mesh.nodes:
            status = node.status()
            if status is None or status["generation"] < 2 or status["suspect_members"] > 0:
                return False
            if status["local_members"] + status["remote_members"] < len(mesh.nodes) - 1:
                return False
        return True
    try:
        wait_for(converged, 20, "the same generation and all members in every daemon")
        agree_s = time.monotonic() - healed
    except CaseError:
        agree_s = None
        note(statuses=[node.status() for node in mesh.nodes][:2])
    results = finish_load(load)
    for name in ("before", "cut", "healed"):
        note(phase=name, offered=results.total("offered", name),
             useful=results.total("useful", name), refusals=results.refusals(name))
    value = {"goodput": ratio(results.goodput("cut"), rate), "agree_s": agree_s}
    passed = value["goodput"] >= 0.95 and agree_s is not None and agree_s <= 5.0
    return verdict(value, "ratio of its own servers' rate; s", {"goodput": 0.95, "agree_s": 5.0},
                   {"offered_per_s": rate, "before": results.success("before")}, passed)


IDLE_SECONDS = 10
SIZES = (10, 20, 40, 80)
TARGET_DAEMONS = 12000


def control_bytes(node):
    """Control plane bytes that the daemon sent and received, from its metrics."""
    _, text = http("GET", f"{node.url}/metrics")
    total = 0.0
    for line in text.splitlines():
        if re.match(r"acaciasill_control_(sent|received)?_?bytes", line):
            total += float(line.rsplit(" ", 1)[1])
    return total


def measure_idle_cost(processes, count):
    """Mean processor time, memory and control traffic of a daemon among `count` idle ones."""
    services = [Service("back", upstreams=1, slots=10, service_time_ms=1.0)]
    platform, platform_url = start_platform(processes, f"platform-{count}")
    if publish(processes, configuration(services), platform_url) != 0:
        raise CaseError("the configuration was not published")
    mesh = start_mesh(processes, count, platform_url)
    wait_for(lambda: min(generations(mesh.nodes)) >= 1, 40,
             "the configuration in force in all daemons")
    time.sleep(2)
    nodes = mesh.nodes
    before = [(node.daemon.cpu_seconds(), control_bytes(node)) for node in nodes]
    begin = time.monotonic()
    time.sleep(IDLE_SECONDS)
    after = [(node.daemon.cpu_seconds(), control_bytes(node)) for node in nodes]
    span = time.monotonic() - begin
    figures = {"daemons": count,
               "cpu_percent": sum(b[0] - a[0] for a, b in zip(before, after)) / span / count * 100,
               "memory_mb": sum(node.daemon.resident_bytes() for node in nodes) / count / 2**20,
               "bytes_per_s": sum(b[1] - a[1] for a, b in zip(before, after)) / span / count}
    note(**figures)
    processes.stop_all()
    processes.started.clear()
    return figures


def slope(points, key):
    """Least-squares line of a figure over the number of daemons: its slope and its value at 0."""
    count = len(points)
    mean_x = sum(point["daemons"] for point in points) / count
    mean_y = sum(point[key] for point in points) / count
    spread = sum((point["daemons"] - mean_x) ** 2 for point in points)
    rise = sum((point["daemons"] - mean_x) * (point[key] - mean_y) for point in points)
    gradient = rise / spread if spread else 0.0
    return gradient, mean_y - gradient * mean_x


def control_cost(processes, options):
    sizes = [options.daemons // 8, options.daemons // 4, options.daemons // 2,
             options.daemons] if options.daemons >= 8 else SIZES
    points = [measure_idle_cost(processes, count) for count in sizes]
    bound = {"cpu_percent": 3.3, "memory_mb": 64.0, "bytes_per_s": 5000.0}
    value = {}
    for key in bound:
        gradient, base = slope(points, key)
        value[key] = base + gradient * TARGET_DAEMONS
        note(figure=key, per_daemon=gradient, at_none=base)
    passed = all(value[key] <= bound[key] for key in bound) and points[-1]["bytes_per_s"] > 0
    return verdict(value, "of one daemon among 12,000, by slope", bound, points[-1], passed)


MICRO_BOUND_NS = 1000.0


def decide_micro(processes, options):
    program = os.path.join(BIN, "decide_micro")
    if not os.path.exists(program):
        raise CaseError(f"{program} is not built")
    done = subprocess.run([program, "--benchmark_format=json", "--benchmark_min_time=0.2"],
                          capture_output=True, text=True, timeout=110, check=False)
    if done.returncode != 0:
        raise CaseError(f"decide_micro ended with {done.returncode}: {done.stderr[-300:]}")
    times = {}
    for row in json.loads(done.stdout)["benchmarks"]:
        if row.get("run_type", "iteration") != "iteration":
            continue
        scale = {"ns": 1.0, "us": 1e3, "ms": 1e6}[row["time_unit"]]
        times[row["name"]] = row["cpu_time"] * scale
        note(name=row["name"], ns=round(times[row["name"]], 1))
    worst = max(times, key=times.get)
    return verdict(times[worst], f"ns, the slowest of {len(times)}: {worst}", MICRO_BOUND_NS,
                   {"fastest_ns": min(times.values())}, times[worst] <= MICRO_BOUND_NS)

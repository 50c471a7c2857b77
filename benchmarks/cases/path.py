"""Latency and throughput of calls through two daemons, against direct HTTP with the same client."""

from .load import run_direct
from .mesh import Mesh, Service, configuration, write_configuration
from .verdicts import note, ratio, verdict

LATENCY_BOUND_MS = 0.68
THROUGHPUT_BOUND = 0.5
CONNECTIONS = 32
PATH = "/svc/back/normal"


def start_pair(processes):
    """Starts an entry daemon without a backend server and a daemon whose server answers at once.

    Returns the URLs of the service through the daemons and direct.
    """
    back = Service("back", upstreams=1, slots=1000, track=False)
    folder = write_configuration(processes.path("set"), configuration([back]))
    mesh = Mesh(processes, configuration_dir=folder, threads=2)
    entry = mesh.add_node("entry")
    mesh.wait_listening(entry)
    nodes = mesh.add_services([back])
    mesh.wait_ready([entry], "back")
    return entry.url + PATH, f"http://{nodes[0].standin_address}/normal"


def measure(url, seconds, rate, options):
    results = run_direct(url, seconds, rate=rate, connections=CONNECTIONS, threads=2,
                         seed=options.seed)
    summary = results.summary
    note(url=url, rate=rate, useful_per_s=round(summary["goodput_per_s"]),
         offered=summary["offered"], useful=summary["useful"], refusals=summary["refusals"],
         latency_ms=summary["latency_ms"])
    return summary


def path_throughput(processes, options):
    through, direct = start_pair(processes)
    measure(through, 2, 0, options)
    rates = {"through": [], "direct": []}
    for _ in range(3):
        rates["direct"].append(measure(direct, 4, 0, options)["goodput_per_s"])
        rates["through"].append(measure(through, 4, 0, options)["goodput_per_s"])
    best = {name: max(values) for name, values in rates.items()}
    value = ratio(best["through"], best["direct"])
    note(through_per_s=rates["through"], direct_per_s=rates["direct"])
    return verdict(value, "ratio of calls a second", THROUGHPUT_BOUND, best["direct"],
                   value >= THROUGHPUT_BOUND)


def path_latency(processes, options):
    through, direct = start_pair(processes)
    measure(through, 2, 0, options)
    machine_rate = measure(through, 4, 0, options)["goodput_per_s"]
    rate = int(machine_rate / 2 * options.load)
    added = []
    baselines = []
    for _ in range(3):
        without = measure(direct, 6, rate, options)["latency_ms"]["p99"]
        with_daemons = measure(through, 6, rate, options)["latency_ms"]["p99"]
        added.append(with_daemons - without)
        baselines.append(without)
    note(rate=rate, added_ms=added)
    value = sorted(added)[1]
    return verdict(value, "ms at the 99th percentile, median of 3", LATENCY_BOUND_MS,
                   sorted(baselines)[1], value <= LATENCY_BOUND_MS)

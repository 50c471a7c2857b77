"""Requests through a call graph under overload: goodput, priority, fairness, recovery, retries."""

from .load import phase, run_load
from .mesh import (Mesh, Service, chain, chain_capacity, configuration, write_configuration)
from .verdicts import note, ratio, verdict

DEADLINE_MS = 1000
IMMEDIATE_RETRIES = 5


def start_chain(processes, services, mode="protect", limits=None):
    """Starts the services; returns the mesh and the addresses of all its daemons."""
    folder = write_configuration(processes.path("set"), configuration(services, limits=limits))
    mesh = Mesh(processes, mode=mode, configuration_dir=folder)
    mesh.add_services(services, prefix=f"{mode}-")
    mesh.wait_ready(mesh.nodes_of(services[0].name), services[0].name)
    return mesh, [node.host for node in mesh.nodes]


def call_class(name, rate, priority="normal", organisation="large", retries=IMMEDIATE_RETRIES,
               **more):
    return {"name": name, "service": "a", "path": f"/{priority}", "organisation": organisation,
            "rate": rate, "deadline_ms": DEADLINE_MS, "retries": retries, **more}


def plan_of(targets, classes, phases, options, **more):
    return {"targets": targets, "threads": 2, "connections": 2000, "seed": options.seed,
            "classes": classes, "phases": phases, **more}


def print_phases(results, label):
    for row in results.classes:
        if row["offered"] == 0:
            continue
        note(run=label, phase=row["phase"], kind=row["class"],
             offered_per_s=round(row["offered"] / row["length_s"], 1),
             useful_per_s=round(row["useful"] / row["length_s"], 1),
             attempts=row["attempts"], refusals=row["refusals"],
             p50=row["latency_ms"]["p50"], p99=row["latency_ms"]["p99"])
    note(run=label, foreign_answers=results.summary["foreign_answers"],
         cut_answers=results.summary["cut_answers"], recovery_ms=results.summary["recovery_ms"])


def print_deepest_service(mesh, label):
    """Prints how many calls the deepest service ran, cancelled and did not start."""
    counters = [node.counters() for node in mesh.nodes_of("d")]
    note(run=label, service="d", runs=sum(item["runs"] for item in counters if item),
         cancelled=sum(item["cancelled"] for item in counters if item),
         not_started=sum(item["not_started"] for item in counters if item))


def stop_mesh(processes):
    processes.stop_all()
    processes.started.clear()


def goodput_run(processes, mode, options):
    services = chain()
    capacity = chain_capacity(services) * options.load
    mesh, targets = start_chain(processes, services, mode)
    phases = [phase("warm", 4, calls=0.7 * capacity), phase("capacity", 8, calls=capacity),
              phase("twice", 9, calls=2 * capacity), phase("between", 3, calls=capacity),
              phase("ten", 9, calls=10 * capacity)]
    plan = plan_of(targets, [call_class("calls", 0)], phases, options)
    results = run_load(processes, f"goodput-{mode}", plan)
    print_phases(results, mode)
    print_deepest_service(mesh, mode)
    stop_mesh(processes)
    return {name: results.goodput(name) for name in ("capacity", "twice", "ten")}


def overload_goodput(processes, options):
    protect = goodput_run(processes, "protect", options)
    passthrough = goodput_run(processes, "passthrough", options)
    # The reference is the better of the two modes at capacity, so that a mode that sheds too early
    # does not lower its own reference.
    capacity = max(protect["capacity"], passthrough["capacity"])
    value = {"twice": ratio(protect["twice"], capacity), "ten": ratio(protect["ten"], capacity)}
    baseline = {"capacity_per_s": capacity,
                "protect_capacity_per_s": protect["capacity"],
                "nominal_per_s": chain_capacity(chain()) * options.load,
                "passthrough_twice": ratio(passthrough["twice"], capacity),
                "passthrough_ten": ratio(passthrough["ten"], capacity)}
    bound = {"twice": 0.95, "ten": 0.90}
    passed = all(value[name] >= bound[name] for name in bound)
    return verdict(value, "ratio of goodput", bound, baseline, passed)


def priority_run(processes, mode, options):
    services = chain()
    capacity = chain_capacity(services) * options.load
    mesh, targets = start_chain(processes, services, mode)
    classes = [call_class("important", 0.5 * capacity, "important"),
               call_class("normal", 0, "normal"), call_class("bulk", 0, "bulk")]
    phases = [phase("warm", 3),
              phase("overload", 20, normal=2.0 * capacity, bulk=3.0 * capacity)]
    results = run_load(processes, f"priority-{mode}", plan_of(targets, classes, phases, options))
    print_phases(results, mode)
    print_deepest_service(mesh, mode)
    stop_mesh(processes)
    return results.success("overload", "important")


def priority(processes, options):
    value = priority_run(processes, "protect", options)
    baseline = priority_run(processes, "passthrough", options)
    return verdict(value, "success of the most important class", 0.999, baseline, value >= 0.999)


# Small organisations of the configuration, each with a guaranteed share of 0.1.
SMALL = ("small-1", "small-2", "small-3", "small-4")
SMALL_RATE = 0.08
LARGE_SHARE = 0.5


def fairness_run(processes, mode, options):
    services = chain()
    capacity = chain_capacity(services) * options.load
    mesh, targets = start_chain(processes, services, mode)
    classes = [call_class("large", 0)]
    classes += [call_class(name, 0, organisation=name) for name in SMALL]
    surge = {name: 2.5 * capacity for name in SMALL}
    phases = [phase("warm", 3, **{"small-1": SMALL_RATE * capacity}),
              phase("alone", 10, **{"small-1": SMALL_RATE * capacity}),
              phase("large-surges", 12, large=10 * capacity,
                    **{"small-1": SMALL_RATE * capacity}),
              phase("between", 3, large=0.4 * capacity),
              phase("small-surge", 12, large=LARGE_SHARE * capacity, **surge)]
    results = run_load(processes, f"fairness-{mode}", plan_of(targets, classes, phases, options))
    print_phases(results, mode)
    print_deepest_service(mesh, mode)
    stop_mesh(processes)
    # Success ratios, not rates: the number of random arrivals differs between the two phases.
    small = ratio(results.success("large-surges", "small-1"), results.success("alone", "small-1"))
    return {"small": small, "large": results.success("small-surge", "large")}


def fairness(processes, options):
    value = fairness_run(processes, "protect", options)
    baseline = fairness_run(processes, "passthrough", options)
    bound = {"small": 0.95, "large": 0.95}
    passed = all(value[name] >= bound[name] for name in bound)
    return verdict(value, "ratio of goodput", bound, baseline, passed)


BEFORE_S = 8
FAULT_S = 5
AFTER_S = 15


def recovery_run(processes, mode, options):
    services = chain()
    capacity = chain_capacity(services) * options.load
    mesh, targets = start_chain(processes, services, mode)
    deep = [f"http://{node.standin_address}/standin/control" for node in mesh.nodes_of("d")]
    faults = [{"at_ms": at * 1000, "post": url, "body": f'{{"slow_factor": {factor}}}'}
              for at, factor in ((BEFORE_S, 10), (BEFORE_S + FAULT_S, 1)) for url in deep]
    phases = [phase("before", BEFORE_S, calls=0.9 * capacity),
              phase("fault", FAULT_S, calls=1.5 * capacity),
              phase("after", AFTER_S, calls=1.5 * capacity)]
    spans = {"before_from_ms": 3000, "before_to_ms": BEFORE_S * 1000,
             "end_ms": (BEFORE_S + FAULT_S) * 1000}
    plan = plan_of(targets, [call_class("calls", 0)], phases, options, faults=faults,
                   recovery=spans)
    results = run_load(processes, f"recovery-{mode}", plan)
    print_phases(results, mode)
    useful = results.series[0]["useful"]
    note(run=mode, useful_by_100_ms=useful)
    stop_mesh(processes)
    return useful


# Windows per second in the series of the load tool.
WINDOWS_PER_SECOND = 10


def goodput_before(useful):
    windows = useful[3 * WINDOWS_PER_SECOND:BEFORE_S * WINDOWS_PER_SECOND]
    return sum(windows) * WINDOWS_PER_SECOND / len(windows)


def recovery_time(useful, wanted_per_s):
    """Seconds from the end of the fault to the first second at the wanted goodput, or None."""
    end = (BEFORE_S + FAULT_S) * WINDOWS_PER_SECOND
    for start in range(end, len(useful) - WINDOWS_PER_SECOND + 1):
        if sum(useful[start:start + WINDOWS_PER_SECOND]) >= wanted_per_s:
            return (start - end) / WINDOWS_PER_SECOND
    return None


def recovery(processes, options):
    protect = recovery_run(processes, "protect", options)
    passthrough = recovery_run(processes, "passthrough", options)
    # The reference is the better of the two modes before the fault, so that a mode that sheds too
    # early does not lower its own reference.
    before = max(goodput_before(protect), goodput_before(passthrough))
    value = recovery_time(protect, 0.95 * before)
    baseline = {"before_per_s": before, "protect_before_per_s": goodput_before(protect),
                "protect_to_its_own_before": recovery_time(protect,
                                                           0.95 * goodput_before(protect)),
                "passthrough": recovery_time(passthrough, 0.95 * before)}
    return verdict(value, "s to 95% of goodput before; null where never", 2.0, baseline,
                   value is not None and value <= 2.0)


SPARE_ATTEMPTS = 3


def deep_attempts(mesh):
    """Attempts at the deepest service by request id, summed over all its servers."""
    attempts = {}
    for node in mesh.nodes_of("d"):
        for row in node.lines("requests"):
            attempts[row[0]] = attempts.get(row[0], 0) + int(row[1])
    return attempts


def linear_chain(misreporting):
    """A chain without fan-out, so that each attempt after the first is a retry.

    Misreporting servers of the deepest service report twice their slots, and they refuse calls for
    which they have no free slot.
    """
    misreport = {"report": {"mode": "misleading", "slots_factor": 2.0, "in_flight_factor": 0.0}}
    deep = {"queue_bound": 0, **misreport} if misreporting else {"queue_bound": 3}
    return [Service("a", 2, 60, 2.0, ["b"], queue_bound=20),
            Service("b", 2, 40, 5.0, ["d"], queue_bound=20),
            Service("d", 3, 7, 50.0, **deep)]


def retry_run(processes, mode, options, misreporting):
    """Counts attempts per request id. Each immediate retry of a client has a new request id."""
    services = linear_chain(misreporting)
    capacity = services[-1].capacity() * options.load
    mesh, _ = start_chain(processes, services, mode, limits={"spare_attempts": SPARE_ATTEMPTS})
    before = set(deep_attempts(mesh))
    classes = [call_class("calls", 3 * capacity, same_id=False)]
    # Kills two daemons of the deepest service one after the other. Calls in flight there are
    # retried on other servers, and the bound has to hold for these retries.
    kills = [{"at_ms": at, "signal": "kill", "pid": node.daemon.pid}
             for at, node in zip((4000, 8000), mesh.nodes_of("d"))] if misreporting else []
    targets = [node.host for node in mesh.nodes_of("a")]
    results = run_load(processes, f"retry-{mode}-{misreporting}",
                       plan_of(targets, classes, [phase("overload", 12)], options, faults=kills))
    print_phases(results, mode)
    print_deepest_service(mesh, mode)
    attempts = [count for request, count in deep_attempts(mesh).items() if request not in before]
    stop_mesh(processes)
    figures = {"largest": max(attempts, default=0), "mean": ratio(sum(attempts), len(attempts)),
               "requests": len(attempts)}
    note(run=mode, lies_and_kills=misreporting, **figures)
    return figures


def retry_bound(processes, options):
    overload = retry_run(processes, "protect", options, False)
    misreporting = retry_run(processes, "protect", options, True)
    passthrough = retry_run(processes, "passthrough", options, True)
    value = {"largest": max(overload["largest"], misreporting["largest"]),
             "mean_in_overload": overload["mean"], "mean_with_lies_and_kills": misreporting["mean"]}
    bound = {"largest": 1 + SPARE_ATTEMPTS, "mean_in_overload": 1.1}
    passed = (overload["requests"] > 0 and value["largest"] <= bound["largest"]
              and value["mean_in_overload"] <= bound["mean_in_overload"])
    return verdict(value, "attempts at the deepest hop", bound, passthrough, passed)

"""Draining, at-most-once execution, and platform outages."""

import json
import signal
import subprocess
import os
import time

from .load import finish_load, phase, run_load, start_load
from .mesh import (Mesh, Service, configuration, start_platform, write_configuration)
from .processes import BIN, CaseError, http, wait_for
from .verdicts import note, ratio, verdict

EXIT_SECONDS = 35


def simple_plan(targets, options, classes, seconds, **more):
    return {"targets": targets, "threads": 2, "connections": 1000, "seed": options.seed,
            "classes": classes, "phases": [phase("run", seconds)], **more}


def last_json(process):
    """The last JSON object that a program printed."""
    lines = [line for line in process.out().splitlines() if line.startswith("{")]
    if not lines:
        raise CaseError(f"{process.name} printed no counters")
    return json.loads(lines[-1])


def publish(processes, objects, platform_url, folder_name="set", revision="benchmark"):
    """Publishes a configuration set with acaciactl; returns its exit status."""
    folder = write_configuration(processes.path(folder_name), objects)
    command = [os.path.join(BIN, "acaciactl"), "publish", folder, "--platform", platform_url,
               "--revision", revision]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    if done.returncode != 0:
        note(publish=done.returncode, out=done.stdout[-300:], err=done.stderr[-300:])
    return done.returncode


def count_interrupted(results):
    """Number of calls that failed for their callers other than by a refusal before they ran."""
    return results.total("failed") + results.total("unknown") + results.total("broken")


def drain(processes, options):
    service = Service("back", upstreams=4, slots=20, service_time_ms=20.0, queue_bound=20,
                      leave_grace_ms=4000)
    folder = write_configuration(processes.path("set"), configuration([service]))
    mesh = Mesh(processes, configuration_dir=folder)
    entries = [mesh.add_node(f"entry{number}") for number in (1, 2)]
    for node in entries:
        mesh.wait_listening(node)
    nodes = mesh.add_services([service])
    mesh.wait_ready(entries, "back")
    # One of four servers remains at the end and must serve the complete load.
    rate = 0.15 * service.capacity() * options.load
    kind = {"name": "calls", "service": "back", "path": "/normal", "organisation": "large",
            "rate": rate, "deadline_ms": 2000}
    load = start_load(processes, "drain",
                      simple_plan([node.host for node in entries], options, [kind], 24))
    time.sleep(3)
    late_ms = []
    statuses = []
    for node in nodes[:2]:
        node.standin.send(signal.SIGTERM)
        statuses.append(node.standin.wait(EXIT_SECONDS))
        counters = last_json(node.standin)
        late_ms.append(counters["last_call_after_leave_ms"])
        note(leaving=node.name, status=statuses[-1], counters=counters)
        node.daemon.send(signal.SIGTERM)
        statuses.append(node.daemon.wait(EXIT_SECONDS))
        time.sleep(1)
    # Stops a daemon whose backend server keeps running, as in an upgrade of the daemon.
    nodes[2].daemon.send(signal.SIGTERM)
    statuses.append(nodes[2].daemon.wait(EXIT_SECONDS))
    results = finish_load(load)
    note(statuses=statuses, offered=results.total("offered"), useful=results.total("useful"),
         not_run=results.total("not_run"), refusals=results.refusals())
    value = {"last_new_work_s": max(late_ms) / 1000.0,
             "cut_off": count_interrupted(results) + results.total("timeout"),
             "not_useful": results.total("offered") - results.total("useful")}
    passed = (value["last_new_work_s"] <= 2.0 and value["cut_off"] == 0
              and all(status == 0 for status in statuses))
    return verdict(value, "s; whole requests", {"last_new_work_s": 2.0, "cut_off": 0},
                   {"offered": results.total("offered")}, passed)


def runs_by_key(nodes):
    """Runs by idempotency key, summed over all stand-ins that still run."""
    runs = {}
    for node in nodes:
        if node.standin.running():
            for key, count in node.lines("keys"):
                runs[key] = runs.get(key, 0) + int(count)
    return runs


def count_violations(call_log, runs):
    """Returns three counts: keys that ran more than once, keys that ran although their caller was
    told that they had not, and all keys.
    """
    attempts = {}
    with open(call_log, encoding="utf-8") as lines:
        for line in lines:
            _, key, _, result, code = line.split()
            attempts.setdefault(key, []).append((result, code))
    repeated = [key for key, count in runs.items() if count > 1]
    wrong = 0
    for key, attempt_results in attempts.items():
        may_have_run = sum(1 for result, code in attempt_results
                           if result != "not_run" and code != "not-sent")
        if runs.get(key, 0) > may_have_run:
            wrong += 1
    for key in repeated[:5]:
        note(run_twice=key, runs=runs[key], answers=attempts.get(key))
    return len(repeated), wrong, len(attempts)


def once(processes, options):
    service = Service("back", upstreams=3, slots=20, service_time_ms=10.0, queue_bound=20)
    platform, platform_url = start_platform(processes)
    if publish(processes, configuration([service], claim=True), platform_url) != 0:
        raise CaseError("the configuration was not published")
    mesh = Mesh(processes, platform_url=platform_url)
    entries = [mesh.add_node(f"entry{number}") for number in (1, 2, 3)]
    for node in entries:
        mesh.wait_listening(node)
    nodes = mesh.add_services([service])
    mesh.wait_ready(entries, "back")
    kinds = [{"name": f"once-{retry}", "service": "back", "path": "/once", "method": "POST",
              "organisation": "large", "rate": 40 * options.load, "deadline_ms": 3000,
              "retries": 10, "retry_pause_ms": pause, "idempotency_key": True, "body_bytes": 20}
             for retry, pause in (("hard", 0), ("patient", 150))]
    log = processes.path("calls.log")
    load = start_load(processes, "once",
                      simple_plan([node.host for node in mesh.nodes], options, kinds, 36,
                                  call_log=log))

    def fault(text):
        if http("POST", f"{platform_url}/fault?{text}")[0] not in (200, 204):
            note(fault_refused=text)

    def pause(process, seconds):
        process.send(signal.SIGSTOP)
        time.sleep(seconds)
        process.send(signal.SIGCONT)

    time.sleep(3)
    for script in ("kind=lost&scope=writes&count=40", "kind=slow&ms=400&seconds=2",
                   "kind=outage&seconds=4"):
        fault(script)
        time.sleep(3)
    for process in (nodes[0].daemon, entries[0].daemon, nodes[1].standin):
        pause(process, 2.5)
        time.sleep(0.5)
    fault("kind=lost&scope=writes&seconds=3")
    pause(nodes[1].daemon, 2.0)
    nodes[2].daemon.send(signal.SIGKILL)
    entries[1].daemon.send(signal.SIGKILL)
    time.sleep(2)
    mesh.start_daemon(nodes[2])
    mesh.start_daemon(entries[1])
    results = finish_load(load)
    time.sleep(1)
    twice, wrong, keys = count_violations(log, runs_by_key(nodes))
    note(offered=results.total("offered"), useful=results.total("useful"),
         not_run=results.total("not_run"), unknown=results.total("unknown"),
         timeout=results.total("timeout"), broken=results.total("broken"),
         refusals=results.refusals(), keys=keys, runs=len(runs_by_key(nodes)))
    value = {"run_twice": twice, "not_run_that_ran": wrong}
    return verdict(value, "calls", {"run_twice": 0, "not_run_that_ran": 0},
                   {"keys": keys, "success": results.success()},
                   twice == 0 and wrong == 0 and results.total("useful") > 0)


def store_outage(processes, options):
    service = Service("back", upstreams=4, slots=20, service_time_ms=20.0, queue_bound=20,
                      leave_grace_ms=1500)
    platform, platform_url = start_platform(processes)
    if publish(processes, configuration([service]), platform_url) != 0:
        raise CaseError("the configuration was not published")
    mesh = Mesh(processes, platform_url=platform_url)
    entries = [mesh.add_node(f"entry{number}") for number in (1, 2)]
    for node in entries:
        mesh.wait_listening(node)
    nodes = mesh.add_services([service])
    mesh.wait_ready(entries, "back")
    rate = 0.7 * service.capacity() * options.load
    kind = {"name": "calls", "service": "back", "path": "/normal", "organisation": "large",
            "rate": rate, "deadline_ms": 1000}
    targets = [node.host for node in entries]
    with_platform = run_load(processes, "with", simple_plan(targets, options, [kind], 12))
    http("POST", f"{platform_url}/fault?kind=outage")
    time.sleep(1)
    load = start_load(processes, "without", simple_plan(targets, options, [kind], 16))
    time.sleep(2)
    joined = mesh.add_services([Service("back", upstreams=1, slots=20, service_time_ms=20.0,
                                        queue_bound=20)], prefix="late-")[0]
    join_works = False
    try:
        join_s = wait_for(lambda: (joined.counters() or {}).get("runs", 0) > 0, 8,
                          "a call served by the joined server")
        join_works = True
    except CaseError:
        join_s = None
    nodes[0].standin.send(signal.SIGTERM)
    drain_status = nodes[0].standin.wait(EXIT_SECONDS)
    counters = last_json(nodes[0].standin)
    without = finish_load(load)
    goodput = {"with": with_platform.success(), "without": without.success()}
    note(join_s=join_s, drain_status=drain_status, drain=counters, refusals=without.refusals(),
         offered=without.total("offered"), useful=without.total("useful"))
    value = {"goodput": ratio(goodput["without"], goodput["with"]),
             "joins": int(join_works),
             "drains": int(drain_status == 0 and counters["last_call_after_leave_ms"] <= 2000)}
    passed = value["goodput"] >= 0.99 and value["joins"] == 1 and value["drains"] == 1
    return verdict(value, "ratio of success; counts", {"goodput": 0.99, "joins": 1, "drains": 1},
                   goodput, passed)

"""The daemons of an organisation's callers must not each grant its whole limit."""

import asyncio
import os
import secrets
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import standin as s

KEY = "ruddedev3nax7u27gxpr"
RATE_PER_S = 100
BURST = 100
QUOTA_WINDOW_S = 5.0
QUOTA_OVER = 0.1
QUOTA_SLACK = 20
# What the tenant asks for at each of the two machines.
OFFERED_PER_S = 150
FRONT_PER_S = 20
CRASH_AT_S = 8.0
DOWN_S = 4.5
LENGTH_S = 18.0
DEADLINE_MS = 1500
STABLE_WINDOW_S = 3.0


def largest_window(runs):
    """Largest number of requests that were sent and run within one window."""
    runs = sorted(runs)
    most = 0
    first = 0
    for last, (ran, _) in enumerate(runs):
        while runs[first][0] < ran - QUOTA_WINDOW_S:
            first += 1
        most = max(most, sum(1 for _, sent in runs[first:last + 1] if sent >= ran - QUOTA_WINDOW_S))
    return most


async def case(record, folder, machines):
    store = s.Store()
    await store.http.open()
    routes = {"r-1": s.route("/a/", "listings", public=False),
              "r-2": s.route("/f/", "front", public=True)}
    tenants = {"pulo780": {"api_keys": [KEY], "priority": 1, "rate_per_s": RATE_PER_S,
                           "burst": BURST}}
    services = ["listings", "front"]
    store.put("op", "config", s.configuration(1, routes, services, tenants))
    ips = ["127.0.13.1", "127.0.13.2"]
    port = s.find_ports(ips)
    sent = {}
    runs = []
    by_machine = {}

    async def listings_work(upstream, request):
        when, machine = sent[request.id]
        runs.append((time.monotonic(), when))
        by_machine[machine] = by_machine.get(machine, 0) + 1
        await asyncio.sleep(0.01)
        return 200, [], b"listing"

    async def front_work(upstream, request):
        await asyncio.sleep(0.01)
        return 200, [], b"front"

    upstreams = [s.Upstream(record, ips[0], "listings", "i-listings", listings_work),
                 s.Upstream(record, ips[1], "front", "i-front", front_work)]
    for number, (ip, upstream) in enumerate(zip(ips, upstreams)):
        await upstream.open()
        machine = s.Machine(folder, f"n-{number}", ip, f"zone-{number}", upstream.service,
                            upstream.http.address, store.http.address, port, quota=True)
        machines.append(machine)
        machine.start()
        upstream.start_beats(machine.control)
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S + 2.0)
    allowed = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVER) + QUOTA_SLACK
    statuses = {}
    tasks = set()

    async def send(machine, target, key):
        request_id = secrets.token_hex(8)
        sent[request_id] = (time.monotonic(), machine.name)
        record.write("sent", id=request_id, machine=machine.name, target=target)
        answer = await s.call_once(machine.callers, method="GET", target=target, key=key,
                                   request_id=request_id, deadline_ms=DEADLINE_MS)
        status = 0 if answer is None else answer[0]
        statuses[target, status] = statuses.get((target, status), 0) + 1
        record.write("answered", id=request_id, status=status)

    def start_send(*arguments):
        task = asyncio.create_task(send(*arguments))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    front = upstreams[1]
    start = time.monotonic()
    number = fronts = 0
    crashed = back = False
    while (elapsed := time.monotonic() - start) < LENGTH_S:
        while number < elapsed * OFFERED_PER_S:
            number += 1
            for machine in machines:
                start_send(machine, "/a/x", KEY)
        while fronts < elapsed * FRONT_PER_S:
            fronts += 1
            start_send(machines[1], "/f/x", None)
        if s.has_trouble() and not crashed and elapsed >= CRASH_AT_S:
            crashed = True
            record.write("crash", upstream=front.instance)
            front.stop_beats()
            front.http.crash()
        if crashed and not back and elapsed >= CRASH_AT_S + DOWN_S:
            back = True
            front.instance = "i-front-2"
            front.born = int(time.time() * 1000)
            front.sequence = 0
            await front.http.open()
            front.start_beats(machines[1].control)
            record.write("back", upstream=front.instance)
        await asyncio.sleep(0.005)
    await s.finish(tasks, timeout=4.0)
    most = largest_window(runs)
    record.write("summary", most_in_window=most, allowed=f"{allowed:.0f}")
    print(f"answers {statuses}; run by machine {by_machine}; most requests in "
          f"{QUOTA_WINDOW_S} s: {most}, allowed {allowed:.0f}")
    if len(runs) < 500:
        return s.COULD_NOT_RUN
    return s.BROKEN if most > allowed else s.HELD


s.run_case(FOLDER, case)

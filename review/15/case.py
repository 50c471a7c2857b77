"""A configuration with a route name of ordinary length must come into force."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import standin as s

ROUTE_NAME = "BIKE_RESERVATION_WITH_DEPOSIT"
SHORT_NAME = "r-2"
INTERVAL_S = 0.1
CHANGE_AT_S = 3.0
LENGTH_S = 13.0
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
DEADLINE_MS = 2000


async def case(record, folder, machines):
    store = s.Store()
    await store.http.open()
    routes = {"r-1": s.route("/a/", "listings")}
    services = ["front", "listings"]
    store.put("op", "config", s.configuration(1, routes, services))
    ips = ["127.0.15.1", "127.0.15.2"]
    port = s.find_ports(ips)

    async def work(upstream, request):
        await asyncio.sleep(0.01)
        return 200, [], b"listing"

    upstreams = [s.Upstream(record, ip, service, f"i-{number}", work)
                 for number, (ip, service) in enumerate(zip(ips, services))]
    for number, (ip, upstream) in enumerate(zip(ips, upstreams)):
        await upstream.open()
        machine = s.Machine(folder, f"n-{number}", ip, "zone-a", upstream.service,
                            upstream.http.address, store.http.address, port)
        machines.append(machine)
        machine.start()
        upstream.start_beats(machine.control)
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S + 2.0)
    acknowledged = None
    statuses = {}
    outdated = 0

    async def send(target, number):
        nonlocal outdated
        request_id = f"{target[1]}-{number}"
        sent = time.monotonic()
        record.write("sent", id=request_id, target=target)
        answer = await s.call_once(machines[0].callers, method="GET", target=target,
                                   request_id=request_id, deadline_ms=DEADLINE_MS)
        status = 0 if answer is None else answer[0]
        statuses[target, status] = statuses.get((target, status), 0) + 1
        record.write("answered", id=request_id, status=status)
        if target == "/new/x" and status == 404 and sent > acknowledged + CONFIG_APPLY_S:
            outdated += 1
            record.write("outdated", id=request_id,
                         after_acknowledgement_s=f"{sent - acknowledged:.2f}")

    start = time.monotonic()
    tasks = []
    number = 0
    while (elapsed := time.monotonic() - start) < LENGTH_S:
        number += 1
        tasks.append(asyncio.create_task(send("/a/x", number)))
        if acknowledged is None and elapsed >= CHANGE_AT_S:
            name = ROUTE_NAME if s.has_trouble() else SHORT_NAME
            store.put("op", "config", s.configuration(
                2, {**routes, name: s.route("/new/", "listings")}, services))
            acknowledged = time.monotonic()
            record.write("configuration", version=2, new_route=name)
        if acknowledged is not None:
            tasks.append(asyncio.create_task(send("/new/x", number)))
        await asyncio.sleep(INTERVAL_S)
    await s.finish(tasks)
    served = statuses.get(("/a/x", 200), 0)
    record.write("summary", outdated=outdated)
    print(f"answers {statuses}; {outdated} requests on the new route got 404 more than "
          f"{CONFIG_APPLY_S} s after the acknowledgement")
    if served < LENGTH_S / INTERVAL_S / 2:
        return s.COULD_NOT_RUN
    return s.BROKEN if outdated else s.HELD


s.run_case(FOLDER, case)

"""Calls of a backend server that reads its requests a little late must not be answered with 401."""

import asyncio
import os
import secrets
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import standin as s

KEY = "ruddedev3nax7u27gxpr"
READ_DELAY_S = 0.05
INTERVAL_S = 0.1
REQUESTS = 300
DEADLINE_MS = 1500
# Deadline of the call itself; it expires with its parent if that is sooner.
CALL_DEADLINE_MS = 2500
# What the upstream takes off for the way of its call.
CALL_MARGIN_MS = 10
STABLE_WINDOW_S = 3.0


async def case(record, folder, machines):
    store = s.Store()
    await store.http.open()
    routes = {"r-1": s.route("/a/", "front", public=False),
              "r-2": s.route("/b/", "records", public=False)}
    tenants = {"pulo780": {"api_keys": [KEY], "priority": 1, "rate_per_s": 331, "burst": 331}}
    store.put("op", "config", s.configuration(1, routes, ["front", "records"], tenants))
    ips = ["127.0.13.1", "127.0.13.2"]
    port = s.find_ports(ips)
    statuses = {}

    async def front_work(upstream, request):
        ends = time.monotonic() + int(request.headers["deadline-ms"]) / 1000.0
        await asyncio.sleep(0.005)
        left_ms = int((ends - time.monotonic()) * 1000) - CALL_MARGIN_MS
        left_ms = min(CALL_DEADLINE_MS, left_ms)
        request_id = secrets.token_hex(8)
        record.write("call-sent", id=request_id, parent=request.id, deadline_ms=left_ms)
        answer = await s.call_once(machines[0].callers, method="GET", target="/b/x",
                                   request_id=request_id, deadline_ms=left_ms)
        status = 0 if answer is None else answer[0]
        statuses[status] = statuses.get(status, 0) + 1
        record.write("call-answered", id=request_id, status=status)
        return (200 if status == 200 else 500), [], b"done"

    async def records_work(upstream, request):
        await asyncio.sleep(0.005)
        return 200, [], b"record"

    upstreams = [s.Upstream(record, ips[0], "front", "i-front", front_work),
                 s.Upstream(record, ips[1], "records", "i-records", records_work)]
    for ip, upstream in zip(ips, upstreams):
        await upstream.open()
        machine = s.Machine(folder, "n-" + upstream.service, ip, "zone-a", upstream.service,
                            upstream.http.address, store.http.address, port, quota=True)
        machines.append(machine)
        machine.start()
        upstream.start_beats(machine.control)
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S + 4.0)
    if s.has_trouble():
        upstreams[0].read_delay_s = READ_DELAY_S

    own = {}

    async def send(number):
        request_id = secrets.token_hex(8)
        record.write("sent", id=request_id)
        answer = await s.call_once(machines[0].callers, method="GET", target="/a/x",
                                   request_id=request_id, deadline_ms=DEADLINE_MS, key=KEY)
        status = 0 if answer is None else answer[0]
        own[status] = own.get(status, 0) + 1
        record.write("answered", id=request_id, status=status)

    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.wait(tasks)
    requests = sum(own.values()) + sum(statuses.values())
    denied = sum(count for status, count in statuses.items() if status in (401, 403, 404))
    allowed = 5 + requests / 500
    record.write("summary", requests=requests, denied=denied, allowed=allowed)
    print(f"clients' requests {own}, calls {statuses}, denied {denied}, allowed {allowed:.1f}")
    if sum(statuses.values()) < REQUESTS / 2:
        return s.COULD_NOT_RUN
    return s.BROKEN if denied > allowed else s.HELD


s.run_case(FOLDER, case)

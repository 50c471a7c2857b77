"""A request without a key on a public route must not run in the name of a tenant."""

import asyncio
import os
import secrets
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import standin as s

KEY = "ruddedev3nax7u27gxpr"
TENANT = "pulo780"
# The tenant's requests, in progress at the upstream beside the clients' daemon.
TENANT_PER_S = 20
TENANT_WORK_S = 0.5
TENANT_DEADLINE_MS = 5000
PUBLIC_CLIENTS = 4
PUBLIC_DEADLINE_MS = 1500
LENGTH_S = 15.0
STABLE_WINDOW_S = 3.0


async def case(record, folder, machines):
    store = s.Store()
    await store.http.open()
    routes = {"r-1": s.route("/a/", "front", timeout_s=5.0, public=False),
              "r-2": s.route("/p/", "records", public=True)}
    tenants = {TENANT: {"api_keys": [KEY], "priority": 1, "rate_per_s": 331, "burst": 331}}
    services = ["front", "records"]
    store.put("op", "config", s.configuration(1, routes, services, tenants))
    ips = ["127.0.11.1", "127.0.11.2"]
    port = s.find_ports(ips)
    ran = [0]
    foreign = [0]

    async def front_work(upstream, request):
        await asyncio.sleep(TENANT_WORK_S)
        return 200, [], b"front"

    async def records_work(upstream, request):
        ran[0] += 1
        tenant = request.headers.get("tenant")
        if tenant is not None:
            foreign[0] += 1
            record.write("ran-for-tenant", id=request.id, tenant=tenant)
        await asyncio.sleep(0.01)
        return 200, [], b"record"

    upstreams = [s.Upstream(record, ips[0], "front", "i-front", front_work),
                 s.Upstream(record, ips[1], "records", "i-records", records_work)]
    for number, (ip, upstream) in enumerate(zip(ips, upstreams)):
        await upstream.open()
        machine = s.Machine(folder, f"n-{number}", ip, "zone-a", upstream.service,
                            upstream.http.address, store.http.address, port, quota=True)
        machines.append(machine)
        machine.start()
        upstream.start_beats(machine.control)
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(STABLE_WINDOW_S + 2.0)
    entry = machines[0]
    start = time.monotonic()
    statuses = {}

    def count(kind, status):
        statuses[kind, status] = statuses.get((kind, status), 0) + 1

    async def tenant_request():
        request_id = secrets.token_hex(8)
        record.write("sent", id=request_id, key="yes")
        answer = await s.call_once(entry.callers, method="GET", target="/a/x", key=KEY,
                                   request_id=request_id, deadline_ms=TENANT_DEADLINE_MS)
        count("tenant", 0 if answer is None else answer[0])

    async def public_client():
        reader, writer = await asyncio.open_connection(*s.split_address(entry.callers))
        while time.monotonic() - start < LENGTH_S:
            request_id = secrets.token_hex(8)
            record.write("sent", id=request_id, key="no")
            writer.write(s.format_call("GET", "/p/x", request_id, PUBLIC_DEADLINE_MS))
            answer = await s.read_answer(reader)
            count("public", 0 if answer is None else answer[0])
            if answer is None:
                break
        writer.close()

    tasks = [asyncio.create_task(public_client()) for _ in range(PUBLIC_CLIENTS)]
    number = 0
    while (elapsed := time.monotonic() - start) < LENGTH_S:
        while s.has_trouble() and number < elapsed * TENANT_PER_S:
            number += 1
            tasks.append(asyncio.create_task(tenant_request()))
        await asyncio.sleep(0.01)
    await s.finish(tasks)
    record.write("summary", ran=ran[0], for_a_tenant=foreign[0])
    print(f"answers {statuses}; of {ran[0]} requests without a key {foreign[0]} ran for a tenant")
    if ran[0] < 200:
        return s.COULD_NOT_RUN
    return s.BROKEN if foreign[0] else s.HELD


s.run_case(FOLDER, case)

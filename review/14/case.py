"""A restarted daemon must not use a server whose leaving its predecessor has acknowledged."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import standin as s

RATE_PER_S = 60
WORK_S = 0.1
DEADLINE_MS = 2000
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# Times in seconds after the store goes away.
LEAVES_AT_S = 0.3
KILL_AT_S = 0.6
RESTART_AT_S = 0.9
STORE_BACK_AT_S = 1.2
LATE_BEAT_AT_S = 4.8
END_S = 9.0


async def case(record, folder, machines):
    store = s.Store()
    await store.http.open()
    routes = {"r-1": s.route("/a/", "listings")}
    store.put("op", "config", s.configuration(1, routes, ["front", "listings"]))
    ips = ["127.0.14.1", "127.0.14.2", "127.0.14.3"]
    port = s.find_ports(ips)
    ran = {}
    sent = {}

    async def work(upstream, request):
        ran[request.id] = (upstream.instance, time.monotonic())
        await asyncio.sleep(WORK_S)
        return 200, [], b"listing"

    upstreams = [s.Upstream(record, ip, service, f"i-{number}", work)
                 for number, (ip, service) in enumerate(zip(ips, ["front", "listings", "listings"]))]
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
    leaving, beside = upstreams[1], machines[1]
    statuses = {}
    tasks = set()
    start = time.monotonic()

    async def send(request_id, entry):
        sent[request_id] = time.monotonic()
        record.write("sent", id=request_id, machine=entry.name)
        answer = await s.call_once(entry.callers, method="GET", target=f"/a/{request_id}",
                                   request_id=request_id, deadline_ms=DEADLINE_MS)
        status = 0 if answer is None else answer[0]
        statuses[status] = statuses.get(status, 0) + 1
        record.write("answered", id=request_id, status=status)

    async def traffic():
        number = 0
        while (elapsed := time.monotonic() - start) < END_S:
            while number < elapsed * RATE_PER_S:
                number += 1
                task = asyncio.create_task(send(f"r-{number}", machines[number % len(machines)]))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.01)

    async def until(moment):
        await asyncio.sleep(max(0.0, start + moment - time.monotonic()))

    traffic_task = asyncio.create_task(traffic())
    if s.has_trouble():
        store.fault = "busy"
        record.write("store-away")
    await until(LEAVES_AT_S)
    leaving.stop_beats()
    late_beat = leaving.beat("ready")
    leaving.leaving = True
    status = await s.post(beside.control, f"/api/Instances.Deregister/{leaving.instance}",
                          leaving.beat("draining"))
    acknowledged = time.monotonic()
    record.write("deregister-acknowledged", instance=leaving.instance, status=status)
    if status != 200:
        raise s.CouldNotRun("the departure was not acknowledged")
    if s.has_trouble():
        await until(KILL_AT_S)
        beside.kill()
        record.write("killed", machine=beside.name)
        await until(RESTART_AT_S)
        beside.start()
        record.write("restarted", machine=beside.name)
        await until(STORE_BACK_AT_S)
        store.fault = None
        record.write("store-back")
    await until(LATE_BEAT_AT_S)
    status = await leaving.send_beat(beside.control, late_beat)
    record.write("late-beat", status=status)
    await traffic_task
    await s.finish(tasks, timeout=4.0)
    late = 0
    for request_id, (instance, when) in ran.items():
        if instance == leaving.instance and sent[request_id] > acknowledged + DRAIN_S:
            late += 1
            record.write("late-run", id=request_id, upstream=instance,
                         after_acknowledgement_s=f"{when - acknowledged:.2f}")
    record.write("summary", late_runs=late)
    print(f"answers {statuses}; {late} requests ran at the server that had left, "
          f"more than {DRAIN_S} s after the acknowledgement")
    if statuses.get(200, 0) < 100:
        return s.COULD_NOT_RUN
    return s.BROKEN if late else s.HELD


s.run_case(FOLDER, case)

"""A heartbeat from another writer, with a service that no page names, arrives
at an agent whose minion is at work on a task."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins.net import call, now
from standins.system import System, job, run_case

WORK_MS = 900


async def case(record, trouble):
    system = System(record, entries=1, agents=2)
    broken = []

    def on_start(minion, key, spec):
        others = [place for place in system.runs.active.get(key[0], set())]
        for place, run in others:
            broken.append(f"TWICE: {key[0]} run {key[1]} starts on "
                          f"{minion.name} while run {run} is at work on "
                          f"{place}")

    system.runs.on_start = on_start
    try:
        await system.start()
        system.configure(1, [("r-jobs", "/jobs/", {"slack_factor": 4.0})])
        await system.start_all()
        await system.wait_ready("/jobs/")
        job_id = "00000000000000a1"
        answer = asyncio.ensure_future(system.request(
            "entry1", "POST", f"/jobs/{job_id}", job(1, WORK_MS),
            deadline=6.0))
        while not system.runs.active.get(f"{job_id}.0.0.0"):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.2)
        place = next(iter(system.runs.active[f"{job_id}.0.0.0"]))[0]
        agent = next(name for name, minion in system.minions.items()
                     if minion.name == place)
        if trouble:
            beat = {"service": "no-such-desk",
                    "address": f"{system.host(20)}:8165",
                    "zone": "joburg-north", "version": "v9", "slots": 8,
                    "state": "ready", "cold_remaining_ms": 0,
                    "capacity": {"cpu": 32000, "ram_mb": 65536, "gpu": 0},
                    "labels": ["a", "r1-1"], "clock_ms": 5000, "sequence": 1,
                    "born": int(time.time() * 1000)}
            status, _ = await call(system.address(agent, "control"), "PUT",
                                   "/api/instances/i-other-writer", body=beat)
            record.write("other-writer", "heartbeat", agent=agent,
                         status=status, service=beat["service"])
        await answer
        # Shows whether the sound minion of that agent still gets work.
        first = now()
        for number in range(10):
            await asyncio.sleep(0.4)
            await system.request("entry1", "POST", f"/jobs/{0xb00 + number:016x}",
                                 job(2, 100, cpu=14000), deadline=3.0)
        used = {name for at, name, _ in system.runs.starts if at > first}
        record.write("script", "minions_in_use_afterwards", names=sorted(used))
    finally:
        system.stop()
    return broken


run_case(FOLDER, case)

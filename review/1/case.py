"""The agent of a minion stands still for some seconds just after it has given
an order, and goes on. The caller's job was given up meanwhile and is sent
again."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins.system import System, job, run_case

FREEZE_S = 2.7
RESEND_S = 1.3
TASKS = 160
WORK_MS = 900
ROUNDS = 11


class Trigger:
    """Stops an agent when its minion has started the first task of a job."""

    def __init__(self, system, trouble):
        self.system, self.trouble = system, trouble
        self.job_id, self.agent, self.reached = None, None, None

    def arm(self, job_id):
        self.job_id, self.agent = job_id, None
        self.reached = asyncio.Event()

    def on_start(self, minion, key):
        if self.agent or self.job_id != key[0].split(".")[0]:
            return
        self.agent = next(name for name, each in self.system.minions.items()
                          if each is minion)
        if self.trouble:
            self.system.signal(self.agent, signal.SIGSTOP)
        self.reached.set()


async def case(record, trouble):
    system = System(record, entries=1, agents=4)
    trigger = Trigger(system, trouble)
    broken = []

    def on_start(minion, key, spec):
        trigger.on_start(minion, key)
        for place, run in system.runs.active.get(key[0], set()):
            broken.append(f"TWICE: {key[0]} run {key[1]} starts on "
                          f"{minion.name} while run {run} is at work on "
                          f"{place}")

    system.runs.on_start = on_start

    async def submit(job_id):
        """Sends a job, and again after 502, 504 or no answer."""
        for _ in range(3):
            status, _ = await system.request(
                "entry1", "POST", f"/jobs/{job_id}",
                job(TASKS, WORK_MS, cpu=400), deadline=1.5)
            if status not in (0, 502, 504):
                return
            await asyncio.sleep(RESEND_S)

    try:
        await system.start()
        system.configure(1, [("r-jobs", "/jobs/", {})])
        await system.start_all()
        await system.wait_ready("/jobs/")
        for number in range(ROUNDS):
            await asyncio.sleep(2.0)
            job_id = f"{0xa00 + number:016x}"
            trigger.arm(job_id)
            answer = asyncio.ensure_future(submit(job_id))
            await asyncio.wait_for(trigger.reached.wait(), 5.0)
            if trouble:
                await asyncio.sleep(FREEZE_S)
                system.signal(trigger.agent, signal.SIGCONT)
            await answer
            await asyncio.sleep(3.0)
            if broken:
                break
    finally:
        system.stop()
    return broken


run_case(FOLDER, case)

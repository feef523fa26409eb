"""TWICE: an abandoned resubmission runs beside the next one."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-3"))
import harness  # noqa: E402

JOBS = 6
DEADLINE_S = 1.5
RESEND_S = harness.BOUNDS["resend_ms"] / 1000
# The cut ends while the third attempt is at work.
CUT_S = 6.1


async def client(cluster, entries):
    """Sends one job as long as it gets no answer, a 502 or a 504."""
    job_id = cluster.job_id()
    body = cluster.job(4, 900)
    for entry in entries:
        status, _ = await cluster.post(entry, job_id, body, DEADLINE_S)
        if status not in (None, 502, 504):
            return
        await asyncio.sleep(RESEND_S)


async def case(cluster):
    if harness.TROUBLE:
        cluster.cut(0)
    await asyncio.sleep(0.02)
    clients = [asyncio.ensure_future(client(cluster, [0, 0, 1, 1, 1]))
               for _ in range(JOBS)]
    await asyncio.sleep(CUT_S)
    if harness.TROUBLE:
        cluster.heal(0)
    await asyncio.gather(*clients)
    await asyncio.sleep(3)
    return [f"task {a[1]}: run {a[2]} on {a[0]} from {a[3]:.3f} to "
            f"{a[4]:.3f}, run {b[2]} on {b[0]} from {b[3]:.3f}"
            for a, b in cluster.overlaps()]


harness.main(HERE, case, entries=2, agents=4)

"""Jobs are accepted on two routes. A desired state then removes one of them and adds another one for the same host and prefix. LOST:
do the accepted jobs go on, whose callers ask for them under the same path as before?"""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-3"))
import rig as rigs

KEPT, REPLACED = "/lohu930/", "/bade401/"
JOBS = {"00000000000000a1": KEPT, "00000000000000b1": REPLACED, "00000000000000b2": REPLACED}
SUBTASKS = 4
FINISH_S = 14
STALL_S = 3


def done(rig, job):
    return {key[0] for _, _, key, how in rig.ends if how == "done" and key[0].startswith(job)}


def is_stalled(rig, job):
    """Nothing of an accepted job runs, though a subtask's turn has come and the workers are idle."""
    is_running = any(key[0].startswith(job) for worker in rig.workers for key in worker.running)
    cores = sum(worker.capacity[0] for worker in rig.workers)
    # Each subtask has a whole core.
    in_use = 1_000 * sum(len(worker.running) for worker in rig.workers)
    return len(done(rig, job)) < SUBTASKS and not is_running and in_use < cores / 2


async def play(rig, trouble):
    kept = rig.route("r-kept", KEPT)
    await rig.start([kept, rig.route("r-before", REPLACED, 2)])
    step = {"count": 2, "cpu": 1_000, "memory_request_mb": 64, "gpu": 1, "estimate_ms": 5_000}
    for job, prefix in JOBS.items():
        if await rig.submit(prefix + job, [step, step | {"after": [0]}], "run_ms=5000") != 200:
            raise RuntimeError("a job was not accepted")
    await asyncio.sleep(2)
    if trouble:
        rig.publish(2, [kept, rig.route("r-after", REPLACED, 2)])
    else:
        rig.publish(2, [kept, rig.route("r-before", REPLACED, 2, timeout_ms=2900)])
    rig.record.say("the traffic ends")
    stalled_since, broken, ended = {}, [], time.monotonic()
    while time.monotonic() < ended + FINISH_S + 30:
        await asyncio.sleep(0.1)
        for job in JOBS:
            if is_stalled(rig, job):
                stalled_since.setdefault(job, time.monotonic())
            else:
                stalled_since.pop(job, None)
        if time.monotonic() < ended + FINISH_S or broken:
            continue
        long = [job for job, since in stalled_since.items() if time.monotonic() > max(since, ended + FINISH_S) + STALL_S]
        if long:
            rig.record.say(f"{FINISH_S + STALL_S} s after the end of the traffic these are stalled: {sorted(long)}")
            broken = [f"LOST: job {job} has nothing running for {STALL_S} s beside idle workers" for job in long]
    for job, prefix in JOBS.items():
        rig.record.say(f"job {job}: state {await rig.state(prefix + job)}, {len(done(rig, job))} of {SUBTASKS} subtasks have ended done")
    return broken


rigs.main(HERE, play, os.environ.get("TROUBLE", "1") != "0", entries=3, workers=5)

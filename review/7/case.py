"""Two tenants number their jobs from 1 on queues of their own: one's job isn't run, and its cancel ends the other's."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
sys.dont_write_bytecode = True
import rig as r

JOBS = 4


def job(tenant, number, run_ms):
    return {"task_spec": f"run_ms={run_ms} order={tenant}-{number}",
            "steps": [{"count": 1, "cpu": 1000, "memory_request_mb": 1000, "gpu": 1, "estimate_ms": run_ms}]}


def case(rig):
    rig.store.put("config", r.config(1, [r.route("north-orders", "/north/"), r.route("south-proofs", "/south/")],
                                     [r.tenant("north", "key-n", gpu=4), r.tenant("south", "key-s", gpu=4)]))
    rig.start()
    breaches = []
    for number in range(1, JOBS + 1):
        # Without the trouble the tenants' numbers don't meet.
        north, south = f"{number:016x}", f"{number if r.TROUBLE else 1000 + number:016x}"
        if rig.submit("/north/", north, "key-n", job("north", number, 6000)) != 200:
            raise r.CannotRun("north's job was not accepted")
        time.sleep(1.0)
        if rig.submit("/south/", south, "key-s", job("south", number, 1500)) != 200:
            rig.record.line(f"south's job {south} was not accepted")
            continue
        time.sleep(4.0 if number % 2 else 1.0)
        if number % 2 == 0:
            # South changes its mind on its own job.
            rig.call("DELETE", "/south/" + south, "key-s")
        time.sleep(8.0 if number % 2 == 0 else 4.0)
        states = rig.state("/north/", north, "key-n"), rig.state("/south/", south, "key-s")
        ran = [any(f"order={tenant}-{number}" in spec for spec in rig.specs) for tenant in ("north", "south")]
        rig.record.line(f"number {number}: north's job is {states[0]}, south's job is {states[1]}; subtasks of "
                        f"north's job started: {ran[0]}, of south's: {ran[1]}")
        if states[0] == "cancelled":
            breaches.append(f"LOST: north's job /north/{north}, which north has not cancelled, is shown as cancelled")
        if states[1] == "completed" and not ran[1]:
            rig.record.line(f"also MIXED: south's job /south/{south} is shown as completed, and none of its subtasks was "
                            "ever started")
    return breaches


r.main(HERE, case)

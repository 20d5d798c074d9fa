"""A subtask that crashes its workers is started too often if the third worker is back later than the others."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import deployment as d  # noqa: E402

WORKERS = 4
BACK_S = 2.0
THIRD_BACK_S = 9.0 if d.TROUBLE else BACK_S
CRASHING = "%016x" % 0xf1
STEP = {"count": 1, "cpu": 1000, "memory_request_mb": 1024, "gpu": 1, "estimate_ms": 1000}


def restart_crashed(dep, stop):
    lives, due, crashes = dict.fromkeys(range(1, WORKERS + 1), 1), {}, 0
    while not stop.is_set():
        time.sleep(0.05)
        for worker in lives:
            if dep.processes["worker-%d" % worker].poll() is not None and worker not in due:
                crashes += 1
                due[worker] = time.time() + (THIRD_BACK_S if crashes == 3 else BACK_S)
            if worker in due and time.time() >= due[worker]:
                del due[worker]
                lives[worker] += 1
                dep.start_worker(worker, lives[worker])


def body(dep):
    stop = threading.Event()
    thread = threading.Thread(target=restart_crashed, args=(dep, stop), daemon=True)
    thread.start()
    dep.submit([1, 2], CRASHING, {"task_spec": "crashes run_ms=1000", "steps": [STEP]})
    time.sleep(40.0)
    stop.set()
    thread.join()
    dep.call(1, "GET", "/orders/" + CRASHING)
    dep.write_events()
    crashes = [at for at, _, event, _ in dep.events() if event == "crashed"]
    later = [at for at, _, event, _ in dep.events(CRASHING) if event == "started" and at > (crashes + [at] * 3)[2]]
    return ["BUDGET: %d starts after three workers have crashed" % len(later)] if len(later) >= 3 else []


d.main(FOLDER, 2, WORKERS, body)

"""An agent is killed and started again while its runner, which doesn't guard its capacity, is at work."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import standin  # noqa: E402

TASK_S = 1.2
TASK_CPU, RUNNER_CPU = 1000, 4000
CLIENTS = 10
TRAFFIC_S = 60
KILL_EVERY_S = 5
RESTART_S = 0.05


async def client(deployment, number, until):
    record, fronts = deployment.record, deployment.fronts
    while time.monotonic() < until:
        job = standin.new_id()
        deployment.tell_cpu(job, TASK_CPU)
        steps = [{"count": 2, "cpu": TASK_CPU, "mem_mb": 64, "estimate_ms": int(TASK_S * 1000)}]
        for attempt in range(3):
            front = fronts[(number + attempt) % len(fronts)]
            record.write(f"client {number} POST {job} to frontend {front}")
            answer = await standin.call((front, standin.FRONTEND_PORT), "POST", standin.PREFIX + job, standin.job(steps),
                                        standin.HOST, {"Deadline-Ms": 6000}, 6.0)
            record.write(f"client {number} answer {job} {answer}")
            if answer and answer[0] not in (502, 504):
                break
            await asyncio.sleep(standin.BOUNDS["resend_ms"] / 1000)
        await asyncio.sleep(random.uniform(0.0, 0.1))


async def kills(deployment, until):
    await asyncio.sleep(3)
    number = 0
    while time.monotonic() < until - 3:
        name = f"side-{number % len(deployment.sides) + 1}"
        number += 1
        node = deployment.nodes[name]
        node.kill()
        deployment.record.write(f"process of {name} killed")
        await asyncio.sleep(RESTART_S)
        node.start()
        deployment.record.write(f"process of {name} started")
        await asyncio.sleep(KILL_EVERY_S + random.uniform(0, 1.5))


async def case(record, trouble):
    deployment = standin.Deployment(record, frontends=2, sides=3, work_s=lambda task: TASK_S, guards=False,
                                    cpu=RUNNER_CPU)
    try:
        await deployment.open()
        until = time.monotonic() + TRAFFIC_S
        work = [client(deployment, number, until) for number in range(CLIENTS)]
        if trouble:
            work.append(kills(deployment, until))
        await asyncio.gather(*work)
        await asyncio.sleep(1)
        violations = []
        for name, at, task, number, used, cpu in deployment.starts():
            if used + cpu > RUNNER_CPU:
                violations.append(f"LIMIT: the start of {task} run {number} at {at - record.zero:.3f} brought {name} to "
                                  f"{used + cpu} of {RUNNER_CPU}")
        return violations
    finally:
        await deployment.close()


standin.main(HERE, case)

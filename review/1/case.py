"""A heartbeat of another writer, for a service that is not named in the configuration, reaches an agent."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import standin  # noqa: E402

TASK_S = 0.9
CLIENTS = 5
TRAFFIC_S = 25
FOREIGN_EVERY_S = 5


async def client(deployment, number, until):
    """Submits one job after the other; a job without a clear answer is sent again, to the next frontend."""
    record, fronts = deployment.record, deployment.fronts
    while time.monotonic() < until:
        job = standin.new_id()
        deployment.tell_cpu(job, 1000)
        steps = [{"count": 2, "cpu": 1000, "mem_mb": 64, "estimate_ms": int(TASK_S * 1000)}]
        for attempt in range(3):
            front = fronts[(number + attempt) % len(fronts)]
            record.write(f"client {number} POST {job} to frontend {front}")
            answer = await standin.call((front, standin.FRONTEND_PORT), "POST", standin.PREFIX + job, standin.job(steps),
                                        standin.HOST, {"Deadline-Ms": 5000}, 5.0)
            record.write(f"client {number} answer {job} {answer}")
            if answer and answer[0] not in (502, 504):
                break
            await asyncio.sleep(standin.BOUNDS["resend_ms"] / 1000)
        await asyncio.sleep(random.uniform(0.0, 0.3))


async def foreign_heartbeats(deployment, until):
    """Sends a well-formed heartbeat of another team's runner to each agent, once its runner is at work."""
    await asyncio.sleep(3)
    left = list(deployment.runners)
    while left and time.monotonic() < until - 3:
        runner = max(left, key=lambda runner: len(runner.running))
        left.remove(runner)
        body = runner.description() | {
            "service": "other-team", "address": f"{runner.address[0]}:8199", "sequence": 1,
            "born": int(time.time() * 1000), "clock_ms": 10,
        }
        runner.sequence -= 1
        name = f"i-other{random.randrange(1 << 16):04x}"
        answer = await standin.call(runner.agent, "PUT", f"/instances/{name}", body)
        deployment.record.write(f"heartbeat of {name} for other-team at the agent of {runner.name}: {answer}")
        await asyncio.sleep(FOREIGN_EVERY_S)


async def case(record, trouble):
    deployment = standin.Deployment(record, frontends=2, sides=3, work_s=lambda task: TASK_S)
    try:
        await deployment.open()
        until = time.monotonic() + TRAFFIC_S
        work = [client(deployment, number, until) for number in range(CLIENTS)]
        if trouble:
            work.append(foreign_heartbeats(deployment, until))
        await asyncio.gather(*work)
        await asyncio.sleep(2)
        return standin.twice(deployment)
    finally:
        await deployment.close()


standin.main(HERE, case)

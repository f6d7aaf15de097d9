"""Requests that clients of a simulated deployment send at the same moment."""

from deployment import HOST, Deployment, JsonObject
from ryelock.runtime import Task
from ryelock.testing.hosting_platform.attempts import AttemptRecord

REQUESTS = 12
CLIENT_DEADLINE_SECONDS = 4.0
MAX_RUN_SECONDS = 30


def amend_routes(deployment: Deployment, changed: JsonObject, base: str, version: str) -> None:
    """Change fields of all routes."""
    routes = deployment.configuration["routes"]
    assert isinstance(routes, list)
    amendment = {
        "version": version,
        "upsert": {"routes": [{**item, **changed} for item in routes]},
        "remove": {},
    }
    status, body = deployment.amend(amendment, base)
    assert status == 200, body
    deployment.world.run(3)


def send_together(
    deployment: Deployment,
    kind: str,
    prefix: str,
    edge: str,
    count: int = REQUESTS,
    deadline: float = CLIENT_DEADLINE_SECONDS,
) -> list[Task]:
    """Start requests for different objects at the same moment; return the clients' tasks."""
    client_node = deployment.client_node
    tasks: list[Task] = []

    async def send(number: int) -> None:
        client = deployment.client(f"slow-{prefix}-{number}")
        await client.request(kind, "GET", HOST, f"{prefix}{number}", b"", deadline, None, 1, edge)

    for number in range(count):
        tasks.append(client_node.scheduler.create_task(send(number), name="slow client"))
    return tasks


def finish(deployment: Deployment, tasks: list[Task]) -> list[AttemptRecord]:
    """Run until the clients have their answers; return the records of their requests."""
    assert deployment.world.run_until(lambda: all(task.done for task in tasks), MAX_RUN_SECONDS)
    return deployment.records[-len(tasks) :]

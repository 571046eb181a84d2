"""Runs both sample deployments, each with a streamed answer and a booking.

``RUN_FOLDER`` names the folder for their files; with ``KEEP`` set, everything runs on
until Ctrl-C.
"""

import json
import os
import sys
import urllib.request
import uuid
from pathlib import Path

from pimentogap.programs import run_ctl
from standins._tokens import answer
from standins.deployment import Deployment, Layout, get_json, wait_until

SAMPLES_FOLDER = Path(__file__).parent.parent / "samples"
READY_TIMEOUT_S = 30.0
TOKENS = 12

COPEAUX = Layout(
    region="bzh",
    availability_zones=("bzh-lo", "bzh-pl", "bzh-ca"),
    plain_services=("reservations",),
)
FYRVEJ = Layout(
    region="dk-west",
    availability_zones=("dk-west-a", "dk-west-b", "dk-west-c"),
    first_port=22000,
    unchecked_domains=("dk-west-a-f0",),
    plain_services=("order-app",),
)


def main():
    """Run the demonstration and return its exit code."""
    folder = Path(os.environ.get("RUN_FOLDER", "run"))
    deployments = [
        Deployment(COPEAUX, folder / "copeaux"),
        Deployment(FYRVEJ, folder / "fyrvej"),
    ]
    try:
        show(
            deployments[0],
            "copeaux-armor.yaml",
            "tournees",
            "redacteur",
            "reservations",
        )
        show(deployments[1], "fyrvej-sokkel.yaml", "kontor", "lm-pool", "order-app")
        if os.environ.get("KEEP"):
            wait_for_interrupt()
    finally:
        for deployment in deployments:
            deployment.stop()
    print("the demonstration is complete")
    return 0


def show(deployment, ticket, workspace, model, plain_service):
    """Start one deployment, submit its ticket, then request an answer and a booking.

    :param ticket: the file name of the ticket in ``samples``.
    :raises RuntimeError: if the ticket is refused or a check of the results fails.
    """
    layout = deployment.layout
    print(f"\n== {layout.region}: starting {layout.daemons} daemons and the stand-ins")
    deployment.start()
    address = layout.operator_address(0)
    print(f"$ pimentogap-ctl --daemon {address} submit samples/{ticket}")
    if run_ctl(["--daemon", address, "submit", str(SAMPLES_FOLDER / ticket)]):
        raise RuntimeError("the ticket was not accepted")
    wait_until(lambda: is_served(layout, model), READY_TIMEOUT_S)
    print("ticket 1 is in force, and the model groups are complete:")
    for group in get_json(address, "/status")["groups"]:
        print(f"  {group['group']} generation {group['generation']}: {group['vms']}")
    stream(layout, workspace, model)
    book(deployment, workspace, plain_service)


def is_served(layout, model):
    """Return whether each daemon has the ticket and a model group it may use.

    :param model: not checked, as each sample has only one model service.
    """
    for index in range(layout.daemons):
        status = get_json(layout.operator_address(index), "/status")
        permitted = [g for g in status["groups"] if g["permitted_here"]]
        if status["revision"] < 1 or not permitted:
            return False
    return True


def stream(layout, workspace, model):
    """Stream one answer through daemon 1 and check that it is complete.

    Then print the request's trace from the daemon.

    :raises RuntimeError: if the answer is incomplete or wrong.
    """
    prompt = "Draft a pickup round for Tuesday."
    body = {"model": model, "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    text, done = "", False
    with post(layout.caller_address(1), "/v1/completions", body, workspace) as response:
        print("streamed answer: ", end="", flush=True)
        for line in response:
            data = line.decode().strip().removeprefix("data: ")
            if data == "[DONE]":
                done = True
            elif data.startswith("{"):
                text_delta = json.loads(data)["choices"][0]["text"]
                text += text_delta
                print(text_delta, end="", flush=True)
        print()
        request_id = response.headers["Request-Id"]
    if not done or text != answer(prompt, TOKENS):
        raise RuntimeError("the streamed answer is incomplete or wrong")
    explained = get_json(layout.operator_address(1), f"/explain/request/{request_id}")
    for note in explained["notes"]:
        print(f"  after {note['after_s']} s: {note['what']} {note['detail']}")


def book(deployment, workspace, plain_service):
    """Send one booking with the same key to two daemons and check that it ran once.

    :raises RuntimeError: if it did not run exactly once.
    """
    layout = deployment.layout
    key = uuid.uuid4().hex
    path = f"/services/{plain_service}/actions/confirm"
    body = {"slot": "tuesday-8"}
    for index in (0, 2):
        address = layout.caller_address(index)
        headers = {"Idempotency-Key": key}
        with post(address, path, body, workspace, headers) as response:
            replayed = response.headers.get("Idempotency-Replayed", "false")
            print(f"booking at daemon-{index}: {response.read().decode()}")
            print(f"  replayed: {replayed}")
    runs = deployment.control("/record")["runs"][plain_service]
    print(f"the service itself ran it {len(runs)} time(s)")
    if len(runs) != 1:
        raise RuntimeError("the booking did not run exactly once")


def post(address, path, body, workspace, headers=None):
    """Send ``body`` as JSON on behalf of ``workspace`` and return the response."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        json.dumps(body).encode(),
        {"Workspace": workspace, "Content-Type": "application/json", **(headers or {})},
    )
    return urllib.request.urlopen(request, timeout=30)


def wait_for_interrupt():
    """Wait until the user presses Ctrl-C or closes the standard input."""
    print("everything is left running; end it with Ctrl-C")
    try:
        input()
    except (KeyboardInterrupt, EOFError):
        pass


if __name__ == "__main__":
    sys.exit(main())

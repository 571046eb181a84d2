"""Steps for calls between daemons, over loopback sockets."""

import asyncio

from behave import given, then, when

from pimentogap.calls import PersonalAnswer, SharedAnswer, decode_answer
from pimentogap.errors import ResponseLost
from pimentogap.peers.grpc import GrpcTransport

ADDRESS = "127.0.0.1:27190"
FLEET_KEY = "key"


@given(
    'a daemon that answers the call "slow" after {delay:g} seconds'
    ' and "never" not at all'
)
def given_slow_daemon(context, delay):
    async def answer(name, body):
        await asyncio.sleep(delay if name == "slow" else 3600.0)
        return {"call": name}

    context.answer_call = answer


@when(
    'another daemon calls "slow" and "never",'
    " each for at most {slow:g} and {never:g} seconds"
)
def when_both_called(context, slow, never):
    async def call_both():
        server, client = (GrpcTransport(name, FLEET_KEY) for name in "ab")
        await server.listen(ADDRESS, None, context.answer_call)
        try:
            return await asyncio.gather(
                client.call(ADDRESS, "slow", {}, timeout_s=slow),
                client.call(ADDRESS, "never", {}, timeout_s=never),
                return_exceptions=True,
            )
        finally:
            await client.close()
            await server.close()

    context.slow_answer, context.never_answer = asyncio.run(call_both())


@then('"slow" is answered and "never" is lost')
def then_slow_answered(context):
    assert context.slow_answer == {"call": "slow"}, context.slow_answer
    assert isinstance(context.never_answer, ResponseLost), context.never_answer


@given("an answer with {count:d} backend servers")
def given_large_answer(context, count):
    entries = [
        {"id": f"i-{i}", "addr": f"10.1.0.{i}:80", "state": "ready", "seq": i}
        for i in range(count)
    ]
    context.shared_answer = SharedAnswer({"objects": entries})


@then("its compressed encoding is less than a quarter as long as the plain one")
def then_shorter(context):
    plain, compressed = (context.shared_answer.encode(flag) for flag in (False, True))
    assert len(compressed) * 4 < len(plain), (len(compressed), len(plain))


@then("both decode to the same answer")
def then_same_answer(context):
    for flag in (False, True):
        decoded = decode_answer(context.shared_answer.encode(flag))
        assert decoded == context.shared_answer.plain


@then("both decode with the fields of each caller added")
def then_own_fields(context):
    shared = context.shared_answer
    for flag in (False, True):
        for own in ({"known_s": -0.5}, {"known_s": 1.25}):
            decoded = decode_answer(PersonalAnswer(shared, own).encode(flag))
            assert decoded == shared.plain | own


@then("the answer {what} is refused as malformed")
def then_refused(context, what):
    compressed = SharedAnswer({"numbers": list(range(2000))}).encode(True)
    data = {
        "that is no JSON": b"\xff{",
        "whose compressed bytes are cut": compressed[:-20],
        "whose compressed bytes are broken": compressed[:40] + b"x" + compressed[41:],
    }[what]
    try:
        decoded = decode_answer(data)
    except ValueError:
        return
    raise AssertionError(f"decoded as {decoded!r}")

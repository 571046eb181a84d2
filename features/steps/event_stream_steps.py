"""Steps for the forms of event streams and their ids."""

from behave import then
from hypothesis import given as given_any, settings, strategies as st
from tornado.httputil import HTTPHeaders

from features.steps.name_steps import FIELD_TEXTS, sample_backend
from pimentogap.forwarding._events import EventFilter
from pimentogap.platform import PlatformHeaders

EXAMPLES = 200
LINE_ENDS = (b"\n", b"\r\n", b"\r")
PIECES = 27
NAMES_OF_IDS = {
    "ids from 1 on": lambda n: str(n),
    "ids of 19 digits": lambda n: str(2**60 + n),
    "ids of 400 digits": lambda n: str(10**399 + n),
    "ids with leading zeros": lambda n: f"{n:08d}",
    "ids that are no numbers": lambda n: f"page-{n}/a",
    "no ids": lambda n: None,
    "ids of 5,000 digits": lambda n: str(10**400 + n).zfill(5000),
}


def event(id_, line_end=b"\n", data=b"x"):
    """Return one event of a stream."""
    lines = [] if id_ is None else [b"id: " + id_.encode()]
    return line_end.join([*lines, b"data: " + data, b"", b""])


def settle(check):
    return settings(max_examples=EXAMPLES, derandomize=True, database=None)(check)


def feed_parts(event_filter, stream, sizes):
    """Feed ``stream`` in parts of ``sizes`` bytes; return the bytes and the count."""
    passed, count, begin = b"", 0, 0
    for size in [*sizes, len(stream)]:
        new = event_filter.feed(stream[begin : begin + size])
        passed, count, begin = passed + new.data, count + new.count, begin + size
    return passed, count


@then("a stream in any form and in any parts is passed on as it is, each event once")
def then_passed(context):
    @given_any(
        st.lists(st.sampled_from(LINE_ENDS), min_size=1, max_size=6),
        st.lists(st.integers(1, 7), max_size=60),
        st.booleans(),
    )
    def check(line_ends, sizes, has_comment):
        stream = b""
        for index, line_end in enumerate(line_ends):
            comment = b": hello" + line_end * 2 if has_comment else b""
            stream += comment + event(str(index + 1), line_end)
        passed, count = feed_parts(EventFilter(), stream, sizes)
        # A CR at the very end may be the first half of CR LF.
        assert stream.startswith(passed) and stream[len(passed) :].strip() == b""
        assert count == len(line_ends), (count, passed)
        again = EventFilter(str(len(line_ends)))
        assert feed_parts(again, stream, sizes)[1] == 0

    settle(check)()


@then("an event is passed on with the last byte that it needs")
def then_at_once(context):
    for line_end in LINE_ENDS:
        event_filter = EventFilter()
        stream = event("1", line_end)
        new = [event_filter.feed(stream[i : i + 1]) for i in range(len(stream))]
        assert [item.count for item in new] == [0] * (len(stream) - 1) + [1], line_end
        assert new[-1].data == stream and not event_filter.has_partial_event


@then(
    "a stream with {ids} that breaks off after {count:d} pieces is resumed after the"
    " fifth"
)
def then_resumed(context, ids, count):
    context.id_of = NAMES_OF_IDS[ids]
    context.filter = EventFilter()
    for number in range(1, count + 1):
        assert context.filter.feed(event(context.id_of(number))).count == 1
    context.filter.begin_attempt()
    assert context.filter.can_resume
    assert context.filter.last_id == context.id_of(count), context.filter.last_id


@then("a server that begins anew adds nothing that was delivered")
def then_no_repeat(context):
    stream = b"".join(event(context.id_of(n)) for n in range(1, PIECES + 1))
    expected = b"".join(event(context.id_of(n)) for n in range(6, PIECES + 1))
    assert context.filter.feed(stream).data == expected


@then("a stream with {ids} cannot be resumed after 1 piece")
def then_not_resumable(context, ids):
    event_filter = EventFilter()
    assert event_filter.can_resume
    assert event_filter.feed(event(NAMES_OF_IDS[ids](1))).count == 1
    assert not event_filter.can_resume


@then("ids 1, 2, 5, 9 and 30 are lost at 5, and pass when the next server goes on at 5")
def then_uneven(context):
    event_filter = EventFilter()
    assert event_filter.feed(event("1") + event("2")).count == 2
    assert "event 3" in event_filter.feed(event("5")).lost
    event_filter.begin_attempt()
    later = b"".join(event(id_) for id_ in ("5", "9", "30"))
    assert event_filter.feed(later).count == 3


@then("events 1, 2 and 5 in one part are lost after 2, and 3 to 5 follow from the next")
def then_none_lost(context):
    event_filter = EventFilter()
    new = event_filter.feed(event("1") + event("2") + event("5") + event("6"))
    assert (new.data, new.count) == (event("1") + event("2"), 2), new
    assert "event 3" in new.lost and event_filter.last_id == "2"
    event_filter.begin_attempt()
    rest = b"".join(event(id_) for id_ in "3456")
    assert event_filter.feed(rest).data == rest


@then("any id that a header field can hold is passed on as it came")
def then_same_id(context):
    codec = PlatformHeaders()

    @given_any(FIELD_TEXTS)
    def check(text):
        value = text.strip(" \t").encode().decode("latin-1")
        needs = codec.needs(HTTPHeaders({"Last-Event-Id": value}))
        pairs = codec.attempt_headers(
            backend=sample_backend("i-1"),
            remaining_s=1.0,
            workspace=None,
            last_event_id=EventFilter(needs.last_event_id).last_id,
        )
        sent = dict(pairs).get("Last-Event-Id")
        assert (sent or "") == value, (sent, value)

    settle(check)()

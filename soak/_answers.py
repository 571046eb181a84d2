"""Checks that each caller got the answer that a replica gave to its own request."""

SEAL = "x-pimentogap-replica-seal"
ATTEMPT_ID = "x-pimentogap-attempt-id"
STREAM_KINDS = ("large", "small")


def check_sent_answers(attempts, answers):
    """Return complete answers that differ from what the replicas sent.

    :param answers: the `SentAnswer` of every request at a stuttering replica.
    """
    answers_by_seal = {answer.seal: answer for answer in answers if answer.seal}
    problems = [
        f"{attempt.stray!r} arrived before the request was sent: {attempt!r}"
        for attempt in attempts
        if attempt.stray
    ]
    for attempt in attempts:
        problem = _problem(attempt, answers_by_seal) if attempt.is_complete else None
        if problem is not None:
            problems.append(f"{problem}: {attempt!r}")
    return problems


def _problem(attempt, answers_by_seal):
    is_success = 200 <= attempt.status < 300
    named_id = attempt.headers.get(ATTEMPT_ID)
    if named_id != attempt.id and (named_id is not None or is_success):
        return f"answer names {named_id}"
    seal = attempt.headers.get(SEAL)
    if seal is None:
        return "success without a seal" if is_success else None
    answer = answers_by_seal.get(seal)
    if answer is None:
        return f"no replica gave the seal {seal}"
    if answer.attempt_id != attempt.id:
        return f"answer to {answer.attempt_id}"
    if answer.arrived_at < attempt.sent_at:
        return f"answer to an earlier send of the request, {answer.status}"
    if answer.status != attempt.status:
        return f"{attempt.status} where {answer.server} answered {answer.status}"
    if attempt.kind in STREAM_KINDS and is_success:
        # The events are compared by `check_answer`; another replica may have gone on.
        return None
    if not answer.is_whole or attempt.body != answer.body:
        return f"body differs from that of {answer.server}"
    return None

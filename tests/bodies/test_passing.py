"""Long bodies on their way: whole, unchanged, once, and what both sides see when the way breaks off."""

from __future__ import annotations

import asyncio

import pytest

from sandhatch.balancing.actions import Fail, Reject, Send
from sandhatch.balancing.events import AnswerStarted, Outcome, Unrepeatable
from testkit.bodies import Pattern, chunked, head
from testkit.clients import HttpClient
from testkit.streaming_server import Upload
from testkit.wire import ok
from tests.bodies.harness import (
    KIB,
    MIB,
    Stage,
    answer_head,
    answer_of,
    fetch,
    look_head,
    run,
    say,
    staged,
    store,
    upload_head,
)

BODY = Pattern(1)


async def upload(client: HttpClient, size: int, chunks: bool = False, most: int = 0) -> None:
    client.send(upload_head(None if chunks else size))
    for piece in BODY.pieces(size, most):
        client.send(chunked(piece) if chunks else bytes(piece))
        await client.writer.drain()
    if chunks:
        client.send(b"0\r\nX-Sum: 7\r\nAuthorization: me\r\n\r\n")


@pytest.mark.parametrize("chunks", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("size", [0, 1, 64 * KIB, 64 * KIB + 1, 5 * MIB])
def test_an_upload_arrives_whole_once_and_unchanged(size: int, chunks: bool) -> None:
    async def work() -> None:
        async with staged(store) as stage, HttpClient(stage.port) as client:
            for _ in range(2):  # and the connection is good for another
                await upload(client, size, chunks)
                status, headers = await answer_head(client)
                text = await client.reader.readexactly(int(headers["content-length"]))
                assert (status, text.decode()) == (200, f"{size} {BODY.crc(size)}")
            await stage.settled()
            assert len(stage.servers[0].seen) == 2
            assert stage.account.opened == (2 if size > 64 * KIB or (chunks and size == 64 * KIB) else 0)

    run(work())


@pytest.mark.parametrize("chunks", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("size", [0, 64 * KIB + 1, 5 * MIB])
def test_an_answer_arrives_whole_once_and_unchanged(size: int, chunks: bool) -> None:
    async def work() -> None:
        async with staged(fetch(size, 2, chunks)) as stage, HttpClient(stage.port) as client:
            for _ in range(2):
                client.send(look_head())
                status, body = await answer_of(client)
                assert (status, body.size, body.crc) == (200, size, Pattern(2).crc(size))
                assert body.whole
            await stage.settled()
            assert stage.servers[0].connections == 1  # both ends of it could be used again
            if size != 64 * KIB + 1:  # that may come whole in one read
                assert len(stage.ears.of(AnswerStarted)) == (2 if size else 0)
            assert [end.outcome for end in stage.ears.ends] == [Outcome.OK, Outcome.OK]

    run(work())


def test_trailers_go_with_a_body_in_chunks_but_not_those_that_would_frame_it() -> None:
    seen: list[dict[str, str]] = []

    async def serve(upload: Upload) -> None:
        seen.append((await upload.body()).trailers)
        await fetch(MIB, 2, True)(upload)

    async def work() -> None:
        async with staged(serve) as stage, HttpClient(stage.port) as client:
            await upload(client, MIB, chunks=True)
            _, body = await answer_of(client)
            assert seen == [{"x-sum": "7"}]
            assert body.whole and body.trailers == {"x-sum": "7"}

    run(work())


def test_both_bodies_flow_at_once_and_an_answer_may_begin_before_the_request_has_ended() -> None:
    async def echo(upload: Upload) -> None:
        await upload.talk.send(head("HTTP/1.1 200 OK", Transfer_Encoding="chunked"))
        left = int(upload.headers["content-length"])
        while left:
            piece = await upload.talk.reader.read(min(left, 64 * KIB))
            left -= len(piece)
            await upload.talk.send(chunked(piece))
        await upload.talk.send(b"0\r\n\r\n")

    async def work() -> None:
        async with staged(echo) as stage, HttpClient(stage.port) as client:
            sending = asyncio.create_task(upload(client, 8 * MIB))
            status, body = await answer_of(client)
            await sending
            assert (status, body.size, body.crc) == (200, 8 * MIB, BODY.crc(8 * MIB))
            await stage.settled()

    run(work())


def test_memory_of_a_request_stays_below_its_ceiling_whichever_side_is_slow() -> None:
    """The account enters every change; nothing is sampled."""

    async def slow(upload: Upload) -> None:
        async def pause(body: object) -> None:
            await asyncio.sleep(0.001)

        body = await upload.body(most=32 * KIB, pause=pause)
        await say(upload, f"{body.size} {body.crc}")

    async def work() -> None:
        async with staged(slow) as stage, HttpClient(stage.port) as client:
            await upload(client, 12 * MIB)
            assert (await answer_of(client))[0] == 200
            await stage.settled()
            assert 0 < stage.account.peak_bytes <= 192 * KIB
            assert stage.account.over == 0

    run(work())


# ------------------------------------------------ the server breaks off


def test_a_server_that_ends_its_answer_early_is_never_passed_on_as_whole() -> None:
    async def cut_short(upload: Upload) -> None:
        length = {"Content-Length": str(MIB)}
        if upload.target == "/chunked":
            length = {"Transfer-Encoding": "chunked"}
        await upload.talk.send(head("HTTP/1.1 200 OK", **length))
        for piece in Pattern(2).pieces(MIB // 2):
            await upload.talk.send(chunked(piece) if upload.target == "/chunked" else bytes(piece))
        upload.talk.writer.close()

    async def work() -> None:
        for target in ("/length", "/chunked"):
            async with staged(cut_short) as stage, HttpClient(stage.port) as client:
                client.send(look_head(target))
                status, body = await answer_of(client)
                assert status == 200 and not body.whole
                assert body.size <= MIB // 2
                assert await client.ended() == b""
                await stage.settled()
                assert [(end.outcome, end.final) for end in stage.ears.ends] == [(Outcome.RESET, True)]
                assert len(stage.servers[0].seen) == 1  # what has begun is never tried again
                assert [record.cut for record in stage.kept.records] == ["server"]

    run(work())


def test_a_caller_of_http_1_0_is_told_of_a_cut_by_a_reset() -> None:
    """It takes no chunks, so without a length only the close tells the end: a plain one would be a lie."""

    async def cut_short(upload: Upload) -> None:
        await upload.talk.send(head("HTTP/1.1 200 OK", Transfer_Encoding="chunked"))
        for piece in Pattern(2).pieces(MIB // 2):
            await upload.talk.send(chunked(piece))
        if upload.target == "/cut":
            upload.talk.writer.close()
        else:
            await upload.talk.send(b"0\r\n\r\n")

    async def work() -> None:
        async with staged(cut_short) as stage:
            async with HttpClient(stage.port) as client:
                client.send(look_head("/whole").replace(b"HTTP/1.1", b"HTTP/1.0"))
                _, headers = await answer_head(client)
                assert "transfer-encoding" not in headers and "content-length" not in headers
                assert len(await client.ended()) == MIB // 2
            async with HttpClient(stage.port) as client:
                client.send(look_head("/cut").replace(b"HTTP/1.1", b"HTTP/1.0"))
                await answer_head(client)
                with pytest.raises(ConnectionResetError):
                    await client.ended()

    run(work())


def test_a_server_that_answers_and_closes_before_the_end_of_the_request() -> None:
    async def early(upload: Upload) -> None:
        await upload.body(stop_at=100 * KIB)
        await say(upload, "enough", Connection="close")
        upload.talk.writer.write_eof()
        await upload.talk.ended()

    async def work() -> None:
        async with staged(early) as stage, HttpClient(stage.port) as client:
            client.send(upload_head(8 * MIB))
            client.send(BODY.whole(300 * KIB))
            status, headers = await answer_head(client)
            assert (status, headers["connection"]) == (200, "close")  # the rest of the body is not wanted
            assert await client.reader.readexactly(6) == b"enough"
            await stage.settled()
            assert [end.outcome for end in stage.ears.ends] == [Outcome.OK]
            assert len(stage.servers[0].seen) == 1

    run(work())


def test_a_server_that_resets_in_mid_body_may_have_run_it() -> None:
    """Unsafe: no second attempt, although all that was sent is still kept, and no refusal either."""

    async def resets(upload: Upload) -> None:
        await upload.body(stop_at=8 * KIB)
        upload.talk.reset()

    async def work() -> None:
        async with staged(resets, resets) as stage, HttpClient(stage.port) as client:
            client.send(upload_head(8 * MIB))
            client.send(BODY.whole(64 * KIB))
            status, headers = await answer_head(client)
            assert (status, headers["connection"]) == (502, "close")
            await stage.settled()
            assert [end.outcome for end in stage.ears.ends] == [Outcome.RESET]
            assert not [action for action in stage.ears.actions if isinstance(action, Reject)]
            assert sum(len(server.seen) for server in stage.servers) == 1

    run(work())


async def dies_at(upload: Upload, size: int) -> None:
    await upload.body(stop_at=size)
    upload.talk.reset()


def test_a_safe_request_is_repeated_from_its_first_byte_while_all_that_was_sent_is_kept() -> None:
    tries: list[int] = []

    async def serve(upload: Upload) -> None:
        tries.append(1)
        if len(tries) == 1:
            await dies_at(upload, 40 * KIB)
        else:
            await store(upload)

    async def work() -> None:
        async with staged(serve, serve) as stage, HttpClient(stage.port) as client:
            size = 4 * MIB
            client.send(upload_head(size, X_Qos="look"))
            body = BODY.whole(size)
            client.send(body[: 64 * KIB])  # what is held before the first send; the rest follows the failure
            await stage.kept.until(lambda: len(stage.ears.ends) == 1)
            assert not stage.ears.of(Unrepeatable)
            client.send(body[64 * KIB :])
            status, headers = await answer_head(client)
            text = await client.reader.readexactly(int(headers["content-length"]))
            assert (status, text.decode()) == (200, f"{size} {BODY.crc(size)}")
            await stage.settled()
            assert [end.outcome for end in stage.ears.ends] == [Outcome.RESET, Outcome.OK]
            assert len(stage.ears.of(Unrepeatable)) == 1  # in the second attempt

    run(work())


def test_past_the_replay_buffer_the_module_is_told_and_nothing_is_repeated() -> None:
    async def serve(upload: Upload) -> None:
        await dies_at(upload, MIB)

    async def work() -> None:
        async with staged(serve, serve) as stage, HttpClient(stage.port) as client:
            client.send(upload_head(4 * MIB, X_Qos="look"))
            client.send(BODY.whole(2 * MIB))
            # Safe, so a refusal with the time to come back: a repeat by the caller does no harm.
            status, _headers = await answer_head(client)
            assert status == 503
            await stage.settled()
            kinds = [type(event).__name__ for event in stage.ears.events]
            assert kinds.index("Unrepeatable") < kinds.index("AttemptEnded")
            assert len([action for action in stage.ears.actions if isinstance(action, Send)]) == 1
            assert sum(len(server.seen) for server in stage.servers) == 1

    run(work())


def test_a_server_that_cannot_be_connected_to_costs_a_long_body_nothing() -> None:
    """Nothing was written, so an unsafe request goes to the next server."""

    async def work() -> None:
        async with staged(store, store) as stage:
            gone = stage.servers[0]
            gone.close()
            await asyncio.sleep(0)
            for _ in range(6):
                async with HttpClient(stage.port) as client:
                    await upload(client, MIB)
                    assert (await answer_head(client))[0] == 200
            await stage.settled()
            outcomes = {end.outcome for end in stage.ears.ends}
            assert outcomes == {Outcome.CONNECT_FAILED, Outcome.OK}

    run(work())


# ------------------------------------------------ the caller breaks off


def test_a_caller_gone_in_mid_upload_takes_its_attempt_with_it() -> None:
    async def work() -> None:
        async with staged(store) as stage:
            async with HttpClient(stage.port) as client:
                client.send(upload_head(8 * MIB))
                client.send(BODY.whole(MIB))
                await stage.servers[0].arrived.get()
            await stage.settled()
            await stage.kept.until(lambda: stage.servers[0].open == 0)
            assert [end.outcome for end in stage.ears.ends] == [Outcome.CANCELLED]
            assert [(record.status, record.cut) for record in stage.kept.records] == [(0, "client")]

    run(work())


def test_a_caller_gone_in_mid_answer_is_never_held_against_its_server() -> None:
    async def work() -> None:
        async with staged(fetch(64 * MIB)) as stage:
            async with HttpClient(stage.port) as client:
                client.send(look_head())
                await answer_head(client)
            await stage.settled()
            await stage.kept.until(lambda: stage.servers[0].open == 0)
            assert [end.outcome for end in stage.ears.ends] == [Outcome.CANCELLED]

    run(work())


@pytest.mark.parametrize(
    "bad",
    [
        b"zz\r\n",
        b"5\r\nabcdeXX",
        b"5;" + b"x" * (300 * KIB) + b"\r\nabcde\r\n",
        b"1\r\na\r\n" * (100 * KIB),
        b"0\r\n" + b"".join(b"X-%d: 1\r\n" % n for n in range(200)) + b"\r\n",
        b"0\r\nX: " + b"y" * (300 * KIB) + b"\r\n\r\n",
        b"FFFFFFFFFFFFFFFFF\r\n",
        b"3\nabc\r\n",
    ],
    ids=["size", "end", "extension", "tiny", "trailers", "trailer", "overflow", "bare_lf"],
)
def test_chunks_that_are_no_good_end_the_request_and_its_connection(bad: bytes) -> None:
    async def work() -> None:
        async with staged(store) as stage, HttpClient(stage.port) as client:
            client.send(upload_head(None) + chunked(BODY.whole(100 * KIB)))
            await stage.servers[0].arrived.get()  # it has begun
            client.send(bad + upload_head(3) + b"abc")
            status, headers = await answer_head(client)
            assert status in (400, 413, 431) and headers["connection"] == "close"
            await stage.settled()
            assert len(stage.servers[0].seen) == 1  # never a second request out of the rest
            assert [end.outcome for end in stage.ears.ends] == [Outcome.CANCELLED]

    run(work())


def test_a_length_that_lies_makes_neither_a_second_request_nor_a_whole_one() -> None:
    async def work() -> None:
        async with staged(store) as stage:
            async with HttpClient(stage.port) as client:  # less than announced
                client.send(upload_head(MIB) + BODY.whole(MIB - 1))
                client.writer.write_eof()
                await client.ended()
            await stage.settled()
            assert [end.outcome for end in stage.ears.ends] == [Outcome.CANCELLED]
            async with HttpClient(stage.port) as client:  # more than announced: no request of its own
                client.send(upload_head(MIB) + BODY.whole(MIB) + b"and some more\r\n\r\n")
                status, _ = await answer_of(client)
                assert status == 200
                status, headers = await answer_head(client)
                assert (status, headers["connection"]) == (400, "close")
            await stage.settled()
            assert len(stage.servers[0].seen) == 2

    run(work())


@pytest.mark.parametrize(
    "lines",
    [
        b"Content-Length: 200000\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 200000\r\nContent-Length: 200001\r\n",
        b"Content-Length: +200000\r\n",
        b"Transfer-Encoding: chunked, identity\r\n",
        b"Transfer-Encoding: chunked\r\nX: a\r\n b\r\n",
        b"Transfer-Encoding: chunked\nX: a\r\n",
        b"Transfer-Encoding : chunked\r\n",
    ],
    ids=["both_lengths", "two_lengths", "plus", "codings", "obs_fold", "bare_lf", "space"],
)
def test_smuggling_shapes_are_an_error_and_a_close(lines: bytes) -> None:
    async def work() -> None:
        async with staged(store) as stage, HttpClient(stage.port) as client:
            client.send(b"POST /d HTTP/1.1\r\nHost: d\r\n" + lines + b"\r\n")
            client.send(b"3\r\nabc\r\n0\r\n\r\n" + upload_head(3) + b"abc")
            status, headers = await answer_head(client)
            assert (status, headers["connection"]) == (400, "close")
            await stage.settled()
            assert not stage.servers[0].seen

    run(work())


def test_a_body_past_the_limit_is_refused_by_its_length_or_where_it_passes_it() -> None:
    async def work() -> None:
        async with staged(store, request={"most_bytes": MIB}) as stage:
            async with HttpClient(stage.port) as client:
                client.send(upload_head(MIB + 1, Expect="100-continue"))
                status, _ = await answer_head(client)
                assert status == 413
                assert not stage.servers[0].seen
            async with HttpClient(stage.port) as client:
                client.send(upload_head(None) + chunked(BODY.whole(MIB)) + chunked(b"x"))
                status, headers = await answer_head(client)
                assert (status, headers["connection"]) == (413, "close")
            await stage.settled()
            assert [end.outcome for end in stage.ears.ends] == [Outcome.CANCELLED]

    run(work())


def test_leave_to_continue_is_given_once_and_refused_without_a_byte_of_the_body() -> None:
    async def work() -> None:
        answer = {"match": {"path": {"prefix": "/no"}}, "to": {"answer": {"status": 403, "body": "no"}}}
        async with staged(store, routes=[{"name": "no"} | answer]) as stage:
            async with HttpClient(stage.port) as client:
                client.send(upload_head(MIB, Expect="100-continue"))
                assert (await answer_head(client))[0] == 100
                client.send(BODY.whole(MIB))
                assert (await answer_head(client))[0] == 200
                assert "expect" not in stage.servers[0].seen[0].headers
            for bad in ({"target": "/no/way"}, {"X_Qos": "nobody"}):
                async with HttpClient(stage.port) as client:
                    client.send(upload_head(MIB, **{"Expect": "100-continue"} | bad))
                    status, headers = await answer_head(client)
                    assert status == (403 if "target" in bad else 400)
                    assert headers["connection"] == "close"
            await stage.settled()
            assert len(stage.servers[0].seen) == 1

    run(work())


def test_a_half_closed_caller_gets_its_answer_where_the_listener_says_so() -> None:
    async def work() -> None:
        for half_close in (False, True):
            listeners = {"front": {"address": "127.0.0.1:0", "half_close": half_close}}
            async with staged(store, listeners=listeners) as stage, HttpClient(stage.port) as client:
                await upload(client, MIB)
                client.writer.write_eof()
                if half_close:
                    assert (await answer_of(client))[0] == 200
                else:
                    assert await client.ended() == b""
                await stage.settled()

    run(work())


# ------------------------------------------------ changes in mid-body


def test_a_server_told_to_drain_while_a_body_flows_to_it_finishes_that_and_gets_nothing_new() -> None:
    async def work() -> None:
        async with staged(store, store) as stage, HttpClient(stage.port) as client:
            size = 4 * MIB
            body = BODY.whole(size)
            client.send(upload_head(size) + body[:MIB])
            await stage.kept.until(lambda: any(server.seen for server in stage.servers))
            busy = next(server for server in stage.servers if server.seen)
            data = stage.kept.service.transactions.in_force.checked.model.model_dump(mode="json")
            servers = data["pools"]["drawings"]["servers"]
            named = next(name for name, row in servers.items() if row["address"].endswith(f":{busy.port}"))
            servers[named]["state"] = "draining"
            await stage.kept.confirmed(data)
            await asyncio.sleep(2.1)  # past the grace
            client.send(body[MIB:])
            assert (await answer_of(client))[0] == 200
            for _ in range(8):
                async with HttpClient(stage.port) as other:
                    await upload(other, 100 * KIB)
                    assert (await answer_of(other))[0] == 200
            assert len(busy.seen) == 1
            await stage.settled()

    run(work())


def test_a_commit_in_mid_body_leaves_the_body_to_the_version_that_it_began_under() -> None:
    async def work() -> None:
        async with staged(store) as stage, HttpClient(stage.port) as client:
            size = 4 * MIB
            body = BODY.whole(size)
            client.send(upload_head(size) + body[:MIB])
            await stage.kept.until(lambda: bool(stage.servers[0].seen))
            data = stage.kept.service.transactions.in_force.checked.model.model_dump(mode="json")
            data["default"] = {"answer": {"status": 404}}
            data["classes"]["draw"]["bodies"]["request"]["most_bytes"] = 1024
            await stage.kept.confirmed(data)
            client.send(body[MIB:])
            status, headers = await answer_head(client)
            text = await client.reader.readexactly(int(headers["content-length"]))
            assert (status, text.decode()) == (200, f"{size} {BODY.crc(size)}")
            async with HttpClient(stage.port) as other:
                other.send(upload_head(MIB))
                assert (await answer_head(other))[0] == 404
            await stage.kept.until(lambda: bool(stage.kept.records))
            assert stage.kept.records[0].version == 1

    run(work())


def test_a_drain_in_mid_body_waits_for_its_end() -> None:
    async def work() -> None:
        async with staged(store) as stage, HttpClient(stage.port) as client:
            size = 4 * MIB
            body = BODY.whole(size)
            client.send(upload_head(size) + body[:MIB])
            await stage.kept.until(lambda: bool(stage.servers[0].seen))
            draining = asyncio.create_task(stage.kept.service.drain())
            await asyncio.sleep(0.7)  # past the time in which newcomers are still taken
            assert not draining.done()
            client.send(body[MIB:])
            status, headers = await answer_head(client)
            assert (status, headers["connection"]) == (200, "close")
            await draining

    run(work())


def test_an_answer_that_trickles_begins_after_its_hold_time() -> None:
    async def drip(upload: Upload) -> None:
        await upload.talk.send(head("HTTP/1.1 200 OK", Transfer_Encoding="chunked") + chunked(b"first"))
        go = await upload.talk.reader.read(1)
        assert not go

    async def work() -> None:
        async with staged(drip, bodies={"answer_hold_ms": 20}) as stage, HttpClient(stage.port) as client:
            client.send(look_head())
            assert (await answer_head(client))[0] == 200
            assert await client.reader.readexactly(10) == b"5\r\nfirst\r\n"

    run(work())


def test_pipelined_requests_around_a_long_one_are_answered_in_their_order() -> None:
    async def serve(upload: Upload) -> None:
        if upload.method == "GET":
            await upload.talk.send(ok(b"got"))
        else:
            await store(upload)

    async def work() -> None:
        async with staged(serve) as stage, HttpClient(stage.port) as client:
            client.send(look_head() + upload_head(MIB) + BODY.whole(MIB) + look_head())
            sizes = []
            for _ in range(3):
                status, body = await answer_of(client)
                assert status == 200
                sizes.append(body.size)
            assert sizes == [3, len(f"{MIB} {BODY.crc(MIB)}"), 3]
            await stage.settled()

    run(work())


def test_a_long_answer_of_another_status_fails_as_a_short_one_does() -> None:
    async def broken(upload: Upload) -> None:
        await upload.body()
        await upload.talk.send(head("HTTP/1.1 500 X", Content_Length=str(MIB)) + Pattern(3).whole(MIB))

    async def work(stage: Stage | None = None) -> None:
        async with staged(broken) as stage, HttpClient(stage.port) as client:
            await upload(client, MIB)
            assert (await answer_head(client))[0] == 502
            await stage.settled()
            assert [action for action in stage.ears.actions if isinstance(action, Fail)]

    run(work())

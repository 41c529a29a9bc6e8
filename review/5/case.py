"""Some servers break off some of their resumable streams; two meet in the same stream.

Three of five servers (share 0.6) reset 0.4 of the requests that they ran, at most.
The first breaks off in the last bytes of an event. The second one's events are shorter; it goes on after
Last-Event-Id and breaks off in the middle of an event as well. The third one ends the stream. Broken
(ORDER): a piece of the stream is missing or comes twice at the client.
"""

import collections
import os
import re
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lab2  # pylint: disable=wrong-import-position

CLIENTS = 16
STREAMS = 6  # of each client, one after the other
EVENTS = 12
EVENT_S = 0.05
SERVERS = 5
AFFECTED = 3  # share 0.6 of the servers
RESET_FOR_S = 4.0
RESET_SHARE = 0.4  # the largest part of its requests that an affected server resets
# By run of a request: the event in which an affected server breaks off, the bytes of that event which it
# still sends (None: all but the last), and the bytes of data in each event.
LONG_BYTES = 90
SHORT_BYTES = 20
RUNS = [(4, None, LONG_BYTES), (6, 5, SHORT_BYTES), (None, None, SHORT_BYTES)]
CLIENT_S = 8.0

lock = threading.Lock()
resets = collections.Counter()  # by server
resets_end = [0.0]


def piece(connection, data):
    connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def answer(servers, server, connection, fields):
    attempt = fields["Ashspindle-Attempt-Id"]
    with lock:
        run = sum(other.runs.count(attempt) for other in servers) - 1
        break_in, part_bytes, data_bytes = RUNS[run]
        may_reset = (server in servers[:AFFECTED] and lab2.TROUBLE and
                     server.record.now() < resets_end[0] and
                     resets[server.name_] + 1 <= RESET_SHARE * len(server.runs))
        if not may_reset:
            break_in = None
        if break_in:
            resets[server.name_] += 1
    after = int(fields.get("Last-Event-Id", "0"))
    server.record.write(f"server {server.name_}: run {run + 1} of {attempt} after event {after}")
    connection.sendall(server.head(fields, "Content-Type: text/event-stream\r\n"
                                           "Transfer-Encoding: chunked\r\n"))
    for number in range(after + 1, EVENTS + 1):
        data = f"{server.name_} ".ljust(data_bytes, "x")
        event = f"id: {number}\ndata: {data}\n\n".encode()
        if number == break_in:
            piece(connection, event[:-1] if part_bytes is None else event[:part_bytes])
            time.sleep(EVENT_S)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            server.record.write(f"server {server.name_} resets {attempt} in event {number}")
            raise OSError("the server broke off")
        piece(connection, event)
        time.sleep(EVENT_S)
    connection.sendall(b"0\r\n\r\n")


def client(lab, record, number, results):
    for i in range(STREAMS):
        stream(lab, record, f"draft-{number}-{i}", results)


def stream(lab, record, attempt, results):
    connection = socket.create_connection(lab.frontend())
    connection.sendall(lab2.request("POST", "/draft/1", attempt))
    record.write(f"client sent {attempt}: POST /draft/1")
    result = lab2.read_answer(connection, record, CLIENT_S)
    results[attempt] = [int(number) for number in re.findall(rb"\nid: (\d+)\n", result.bytes)]
    record.write(f"client of {attempt}: {result.text()}, events {results[attempt]}")
    connection.close()


def play(record):
    servers = []
    for i in range(SERVERS):
        servers.append(lab2.Server(record, f"i-model-{i}",
                                   lambda server, connection, _line, fields, _body:
                                   answer(servers, server, connection, fields)))
    results = {}
    with lab2.Lab(record) as lab:
        for server in servers:
            lab.list_server(server, "stock-api")
        lab.put("op/config", lab2.config(1, [
            lab2.route("draft", "streaming", Resumable=True, MaxAttempts=3, SloMs=400,
                       GapTargetMs=120)]))
        lab.start_router(0)
        time.sleep(3.5)  # ContactMs after the start
        clients = [threading.Thread(target=client, args=(lab, record, i, results))
                   for i in range(CLIENTS)]
        resets_end[0] = record.now() + RESET_FOR_S
        for thread in clients:
            thread.start()
            time.sleep(EVENT_S)
        for thread in clients:
            thread.join()
    for server in servers:
        record.write(f"server {server.name_} reset {resets[server.name_]} of {len(server.runs)} runs")
    # A stream that ends early, and not as complete, breaks nothing.
    wrong = [attempt for attempt, events in results.items()
             if events != list(range(1, len(events) + 1))]
    record.write(f"streams with a piece missing or twice: {wrong}")
    return bool(wrong)


if __name__ == "__main__":
    lab2.main(os.path.dirname(os.path.abspath(__file__)), play)

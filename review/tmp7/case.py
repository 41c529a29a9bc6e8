"""A new configuration raises Limits.MaxBodyBytes, and clients use it on connections that they kept.

Broken (DENIED): more than 5 + one in 500 of all requests are ended with a 4xx of the router's own
though they are proper and every configuration that may be in force allows them.
"""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lab2  # pylint: disable=wrong-import-position

CLIENTS = 12
SMALL_BYTES = 600
LARGE_BYTES = 200000
BODY_MAX_BEFORE = 100000
BODY_MAX_AFTER = 4194304
REST_S = 1.0
CLIENT_S = 8.0


def answer(server, connection, _line, fields, body):
    text = f"{len(body)} bytes received".encode()
    connection.sendall(server.head(fields, f"Content-Length: {len(text)}\r\n") + text)


def configuration(version, body_max):
    return lab2.config(version, [lab2.route("order", "unsafe")],
                       {**lab2.LIMITS, "MaxBodyBytes": body_max})


def send(connection, record, attempt, body_bytes):
    connection.sendall(lab2.request("POST", "/order/1", attempt, b"x" * body_bytes))
    result = lab2.read_answer(connection, record, CLIENT_S)
    record.write(f"client sent {attempt} with {body_bytes} bytes: {result.text()}, "
                 f"seal {b'Server-Seal' in result.bytes}")
    return result


def play(record):
    server = lab2.Server(record, "i-stock-1", answer)
    sent = 0
    denied = 0
    with lab2.Lab(record) as lab:
        lab.list_server(server, "stock-api")
        lab.put("op/config", configuration(1, BODY_MAX_BEFORE if lab2.TROUBLE else BODY_MAX_AFTER))
        lab.start_router(0)
        time.sleep(3.5)  # ContactMs after the start
        connections = [socket.create_connection(lab.frontend()) for _ in range(CLIENTS)]
        for i, connection in enumerate(connections):
            send(connection, record, f"before-{i}", SMALL_BYTES)
            sent += 1
        if lab2.TROUBLE:
            lab.put("op/config", configuration(2, BODY_MAX_AFTER))
        # Past ConfigMs only the new configuration may be in force. The clients go on using their
        # connections meanwhile.
        acknowledged_at = record.now()
        while record.now() < acknowledged_at + lab2.CONFIG_S + 1:
            time.sleep(REST_S)
            for i, connection in enumerate(connections):
                send(connection, record, f"meanwhile-{i}-{sent}", SMALL_BYTES)
                sent += 1
        for i, connection in enumerate(connections):
            result = send(connection, record, f"after-{i}", LARGE_BYTES)
            sent += 1
            denied += 400 <= result.status < 500 and b"Server-Seal" not in result.bytes
        # A new connection shows that the router has the configuration.
        with socket.create_connection(lab.frontend()) as connection:
            if send(connection, record, "new-connection", LARGE_BYTES).status != 200:
                raise RuntimeError("the new configuration is not in force")
            sent += 1
    record.write(f"{denied} of {sent} requests denied with a 4xx of the router's own, "
                 f"{5 + sent / 500:.2f} may be")
    return denied > 5 + sent / 500


if __name__ == "__main__":
    lab2.main(os.path.dirname(os.path.abspath(__file__)), play)

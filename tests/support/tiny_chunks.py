"""A replica that sends tiny chunks as fast as it can."""

from __future__ import annotations

import contextlib
import socket
import threading

from coriandershelf_rig.internal.standin_replica import ReceivedRequest, chunk, receipt_head


class TinyChunks:
    """A replica in a thread of its own, which sends a body in chunks of one byte.

    It sends faster than a process reads, as one on another machine can, and stops at a bound, so
    that a test of a process that does nothing else ends.
    """

    MAX_BYTES = 3 << 20

    def __init__(self, piece: bytes) -> None:
        self.sent_bytes = 0
        self._piece = chunk(piece)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            connection, _ = self._listener.accept()
            with connection:
                head = connection.recv(65536).decode("latin1").split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
                request = ReceivedRequest("POST", "/", fields, b"")
                connection.sendall(receipt_head(request, Transfer_Encoding="chunked") + b"\r\n")
                pieces = self._piece * 1024
                while self.sent_bytes < self.MAX_BYTES:
                    connection.sendall(pieces)
                    self.sent_bytes += len(pieces)

    def stop(self) -> None:
        self._listener.close()
        self._thread.join()

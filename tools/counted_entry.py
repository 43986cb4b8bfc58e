"""Runs an entry instance that counts the messages between it and other instances.

Its ``/metrics`` include the numbers of messages and of bytes. If the first argument is
``--profile FILE``, the instance writes a cProfile of its whole run to FILE when it
stops.
"""

from collections.abc import Sequence
from cProfile import Profile
from sys import argv, exit
from time import process_time
from typing import Any

from prometheus_client import Counter

from lovagetray import main
from lovagetray.wire import _peers, decode_envelope, encode_envelope

_bytes_total = Counter("tool_peer_bytes", "Bytes of frames", ["direction", "kind"])
_messages_total = Counter("tool_peer_messages", "Messages", ["direction", "kind"])


def _count_message(direction: str, frames: Sequence[bytes]) -> None:
    kind = frames[1].decode("ascii", "replace") if len(frames) == 3 else "malformed"
    _bytes_total.labels(direction, kind).inc(sum(len(frame) for frame in frames))
    _messages_total.labels(direction, kind).inc()


def _encode_counted(envelope: Any) -> list[bytes]:
    frames = encode_envelope(envelope)
    _count_message("sent", frames)
    return frames


def _decode_counted(frames: Sequence[bytes]) -> Any:
    _count_message("received", frames)
    return decode_envelope(frames)


def _run() -> int:
    setattr(_peers, "encode_envelope", _encode_counted)
    setattr(_peers, "decode_envelope", _decode_counted)
    if argv[1] != "--profile":
        return main(argv[1:])
    profile = Profile(process_time)
    code = profile.runcall(main, argv[3:])
    profile.dump_stats(argv[2])
    return code


if __name__ == "__main__":
    exit(_run())

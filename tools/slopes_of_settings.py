"""Slopes of a settings change: CPU, bytes and the time until it is in force."""

from argparse import Namespace
from datetime import datetime, timedelta, timezone
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from time import monotonic, process_time, sleep

from fleet import Fleet
from slope import Slope, make_slope

from lovagetray._log_entries import Entry, EntryKind, LeaderHeader, Proposal, Voter
from lovagetray._peer_messages import AppendEntries, Envelope
from lovagetray._types import InstanceId
from lovagetray._violations import Violations
from lovagetray.state import ChangeSettings, Origin, SettingsState, SetValue
from lovagetray.wire import (
    decode_envelope,
    decode_settings_command,
    encode_envelope,
    encode_settings_command,
    encode_settings_outcome,
)

_PROPOSED_AT = datetime(2026, 1, 1, tzinfo=timezone.utc)
_ORIGIN = Origin("anna", "127.0.0.1", "0" * 32, "0" * 64)
_EXISTING_VALUES = 500
_CHANGE_COUNT = 5
_POLL_SECONDS = 0.005


def settings_change(arguments: Namespace) -> list[Slope]:
    """Return the CPU and bytes of settings changes, and the time until in force."""
    return [_cpu_slope(arguments), _bytes_slope(), _seconds_slope(arguments)]


def _cpu_slope(arguments: Namespace) -> Slope:
    points = []
    for changes in (10, 30, 100, 300):
        state = SettingsState(Violations())
        for number in range(_EXISTING_VALUES):
            state.apply(number + 1, _PROPOSED_AT, _change(number, number))
        bodies = [
            encode_settings_command(_change(_EXISTING_VALUES + number, number))
            for number in range(changes)
        ]
        started = process_time()
        for number, body in enumerate(bodies):
            command = decode_settings_command(body).ok
            outcome = state.apply(_EXISTING_VALUES + number + 1, _PROPOSED_AT, command)
            encode_settings_outcome(outcome)
        points.append((float(changes), (process_time() - started) * 1e6))
    note = f"decode, apply and outcome at one instance; {_EXISTING_VALUES} values set"
    return make_slope("cpu_settings_change", "CPU us", "changes", points, note)


def _bytes_slope() -> Slope:
    points = []
    for changes in (1, 10, 100):
        entries = tuple(
            Entry(
                number,
                1,
                EntryKind.PROPOSAL,
                Proposal(
                    f"settings:{number:032x}",
                    _PROPOSED_AT,
                    encode_settings_command(_change(number, number)),
                    "0" * 64,
                ),
            )
            for number in range(changes)
        )
        voter = Voter("entry-1", "0" * 32)
        header = LeaderHeader(1, voter, 1, ("entry-1",) * 9, timedelta(0), None)
        message = AppendEntries(header, 1, 1, entries)
        frames = encode_envelope(Envelope(InstanceId("entry-1", "1"), message))
        assert decode_envelope(frames).is_ok()
        points.append((float(changes), float(sum(map(len, frames)))))
    note = "frames of AppendEntries from the leader to one instance"
    return make_slope("bytes_settings_change", "bytes", "changes", points, note)


def _seconds_slope(arguments: Namespace) -> Slope:
    points = []
    for instances in arguments.sizes or (3, 9, 20, 30):
        with TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
            fleet.start_entries(int(instances), voters=3)
            points.append((float(instances), _median_time_until_in_force(fleet)))
    note = (
        f"median of {_CHANGE_COUNT} changes, from the accepted reply to the last"
        " instance asked; instances are asked in turn every"
        f" {_POLL_SECONDS * 1000:.0f} ms"
    )
    return make_slope("seconds_settings_change", "s", "instances", points, note)


def _median_time_until_in_force(fleet: Fleet) -> float:
    """Return the median seconds from an accepted change until it is in force."""
    times = []
    for number in range(_CHANGE_COUNT):
        values = {"search.deadline": f"{200 + number}ms"}
        revision = fleet.change_settings("/kallioniemi", values)
        accepted = monotonic()
        while not fleet.in_force(revision):
            sleep(_POLL_SECONDS)
        times.append(monotonic() - accepted)
        sleep(0.2)
    return median(times)


def _change(index: int, number: int) -> ChangeSettings:
    path = f"/user-{number}"
    change = SetValue(path, "search.deadline", f"{100 + number}ms")
    return ChangeSettings(_ORIGIN, index, (change,))

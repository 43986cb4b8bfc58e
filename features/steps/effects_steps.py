"""Steps for non-idempotent requests, in virtual time."""

from datetime import timedelta

from behave import given, then, when
from behave.runner import Context
from expression import Result
from fakes.effects import EPOCH, RETENTION, SERVICE, EffectSimulation
from fakes.virtual_time import run_in_virtual_time

from lovagetray._violations import Violations
from lovagetray.commands.effects import EffectRunner, _run_once
from lovagetray.state import (
    Attempt,
    BeginEffect,
    ChangeRetention,
    EffectKey,
    FinishEffect,
    Ledger,
    LedgerCommand,
    LedgerReply,
    LoseEffect,
    ReleaseEffect,
)
from lovagetray.wire import decode_ledger_snapshot, encode_ledger_snapshot

_KEY = EffectKey(SERVICE, "key-1")
_FIRST_ATTEMPT = Attempt("entry-1", "first")
_SECOND_ATTEMPT = Attempt("entry-2", "second")


class ForgetfulLedger(Ledger):
    """A defective ledger that forgets every begun key at once."""

    def apply(self, at: object, command: LedgerCommand) -> LedgerReply:  # type: ignore
        reply = super().apply(at, command)  # type: ignore[arg-type]
        if isinstance(command, BeginEffect):
            self._entries.pop(command.key, None)
        return reply


class RetryingRunner(EffectRunner):
    """A defective runner that treats every failure as proof of not run."""

    async def run(self, request):  # type: ignore
        original = _run_once.proves_not_run
        _run_once.proves_not_run = lambda failure: True
        sent, self._sent = self._sent, _KeepingSet(self._sent)
        try:
            return await super().run(request)
        finally:
            _run_once.proves_not_run = original
            self._sent = sent


class _KeepingSet(set):  # type: ignore[type-arg]
    def discard(self, item: object) -> None:
        """Keep the entry, because nothing proves that the request did not run."""


async def _simulate(seed: int, **defects: type) -> EffectSimulation:
    simulation = EffectSimulation(seed, **defects)
    await simulation.run()
    return simulation


@when("callers resend holds through 3 instances with seeds {first:d} to {last:d}")
def run_seeds(context: Context, first: int, last: int) -> None:
    context.problems = []
    context.executions = 0
    for seed in range(first, last + 1):
        simulation = run_in_virtual_time(_simulate, seed)
        context.executions += len(simulation.targets.executions)
        context.problems += [
            f"seed {seed}: {problem}" for problem in simulation.problems()
        ]


@then("no hold ran twice and every refusal was correct")
def check_no_problem(context: Context) -> None:
    assert context.executions > 0
    assert not context.problems, context.problems[:5]


@when('callers resend holds with the rule "{rule}" broken')
def run_with_defect(context: Context, rule: str) -> None:
    defects = {
        "a begun key stays begun": {"ledger": ForgetfulLedger},
        "retry only after proof of not run": {"runner": RetryingRunner},
    }[rule]

    async def run() -> EffectSimulation:
        return await _simulate(1, **defects)

    context.problems = run_in_virtual_time(run).problems()


@then('the run of holds reports "{report}"')
def check_report(context: Context, report: str) -> None:
    assert any(report in problem for problem in context.problems), context.problems


@given("a hold that was {state}")
def prepare_hold(context: Context, state: str) -> None:
    context.violations = Violations()
    context.ledger = Ledger(context.violations, RETENTION)
    context.ledger.apply(EPOCH, _begin(_FIRST_ATTEMPT))
    match state:
        case "finished":
            context.ledger.apply(EPOCH, FinishEffect(_KEY, _FIRST_ATTEMPT, "done"))
        case "lost":
            context.ledger.apply(EPOCH, LoseEffect(_KEY, _FIRST_ATTEMPT))
        case "released":
            context.ledger.apply(EPOCH, ReleaseEffect(_KEY, _FIRST_ATTEMPT))


@when("the same hold is sent {change}")
def resend_hold(context: Context, change: str) -> None:
    at = EPOCH + timedelta(seconds=1)
    command = _begin(_SECOND_ATTEMPT)
    match change:
        case "with another body":
            command = _begin(_SECOND_ATTEMPT, fingerprint="other")
        case "with another issue time":
            command = _begin(_SECOND_ATTEMPT, issue_offset=timedelta(minutes=-1))
        case "after the retention":
            at = EPOCH + RETENTION + timedelta(seconds=1)
        case "after a longer retention":
            at = EPOCH + RETENTION + timedelta(seconds=1)
            context.ledger.apply(at, ChangeRetention(RETENTION))
            context.ledger.apply(at, ChangeRetention(3 * RETENTION))
        case "after a restored snapshot":
            encoded = encode_ledger_snapshot(context.ledger.snapshot())
            restored = Ledger(context.violations, RETENTION)
            match decode_ledger_snapshot(encoded):
                case Result(tag="ok", ok=snapshot):
                    restored.restore(snapshot)
            context.ledger = restored
        case "with a future issue time":
            command = _begin(_SECOND_ATTEMPT, issue_offset=timedelta(hours=1))
    context.reply = context.ledger.apply(at, command)


@then("the ledger replies {reply}")
def check_reply(context: Context, reply: str) -> None:
    assert type(context.reply).__name__ == reply, context.reply


def _begin(
    attempt: Attempt, fingerprint: str = "same", issue_offset: timedelta = timedelta(0)
) -> BeginEffect:
    return BeginEffect(_KEY, fingerprint, EPOCH + issue_offset, attempt)

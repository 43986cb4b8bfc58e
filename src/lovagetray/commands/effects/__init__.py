"""Commands with effects outside of the system, run at most once."""

from lovagetray.commands.effects._run_once import (
    EffectAnswer,
    EffectRequest,
    EffectRunner,
    EffectSender,
    LedgerLog,
)

"""Commands with effects outside the system, each run at most once."""

from lovagetray.commands.effects._run_once import (
    EffectAnswer,
    EffectRequest,
    EffectRunner,
    EffectSender,
    LedgerProposer,
)

"""Steps about how the replicas of a shard are spread over owners."""

from datetime import timedelta

from behave import then
from behave.runner import Context
from hypothesis import given, settings, strategies

from lovagetray import Address, Announcement
from lovagetray._types import InstanceId, Load, TargetState
from lovagetray.queries.membership import owner_of, ownership_ranking
from lovagetray.state import InstanceRecord, InstanceState

_DATA_CENTRES = ("one", "two", "three")
_names = strategies.lists(
    strategies.text("abcdefgh", min_size=1, max_size=4),
    min_size=1,
    max_size=10,
    unique=True,
)
_targets = strategies.lists(
    strategies.text("rstuvw", min_size=1, max_size=4),
    min_size=1,
    max_size=5,
    unique=True,
)
_places = strategies.lists(strategies.sampled_from(_DATA_CENTRES), min_size=15)


@then("replicas of one shard have as many owners as there are instances for them")
def check_spread(context: Context) -> None:
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_names, _targets, _places)
    def check(names: list[str], targets: list[str], places: list[str]) -> None:
        instances = [_instance(*pair) for pair in zip(names, places)]
        siblings = [_target(*pair) for pair in zip(sorted(targets), places[10:])]
        owners = {
            owner_of(one, instances, siblings[:number])
            for number, one in enumerate(siblings)
        }
        assert len(owners) == min(len(siblings), len(instances))

    check()


@then("the owner of the n-th replica is among the first n of its ranking")
def check_rank(context: Context) -> None:
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_names, _targets, _places)
    def check(names: list[str], targets: list[str], places: list[str]) -> None:
        instances = [_instance(*pair) for pair in zip(names, places)]
        siblings = [_target(*pair) for pair in zip(sorted(targets), places[10:])]
        for number, sibling in enumerate(siblings):
            owner = owner_of(sibling, instances, siblings[:number])
            assert owner in ownership_ranking(sibling, instances)[: number + 1]

    check()


def _instance(name: str, data_centre: str) -> InstanceRecord:
    address = Address("127.0.0.1", 1)
    return InstanceRecord(
        InstanceId(name, "1"), InstanceState.SERVING, data_centre, address, address
    )


def _target(name: str, data_centre: str) -> Announcement:
    return Announcement(
        service="kallioniemi/invoices",
        target=name,
        incarnation=1,
        sequence=1,
        data_centre=data_centre,
        address=Address("127.0.0.1", 1),
        state=TargetState.READY,
        holdings=(),
        slots=5,
        connections=40,
        connect_cost=timedelta(milliseconds=6),
        load=Load(0, 0),
    )

"""Steps for the distribution of the replicas of a shard over owners."""

from datetime import timedelta

from behave import then
from behave.runner import Context
from hypothesis import given, settings, strategies

from lovagetray import Address, Announcement
from lovagetray._types import InstanceId, Load, TargetState
from lovagetray.queries.membership import owner_of, ownership_ranking
from lovagetray.state import InstanceRecord, InstanceState

_DATA_CENTRES = ("one", "two", "three")
_instance_names = strategies.lists(
    strategies.text("abcdefgh", min_size=1, max_size=4),
    min_size=1,
    max_size=10,
    unique=True,
)
_target_names = strategies.lists(
    strategies.text("rstuvw", min_size=1, max_size=4),
    min_size=1,
    max_size=5,
    unique=True,
)
_data_centres = strategies.lists(strategies.sampled_from(_DATA_CENTRES), min_size=15)


@then("the replicas of a shard have as many owners as replicas and instances permit")
def check_distribution(context: Context) -> None:
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_instance_names, _target_names, _data_centres)
    def check_example(
        names: list[str], targets: list[str], data_centres: list[str]
    ) -> None:
        instances = [_instance(*pair) for pair in zip(names, data_centres)]
        replicas = [_target(*pair) for pair in zip(sorted(targets), data_centres[10:])]
        owners = {
            owner_of(replica, instances, replicas[:number])
            for number, replica in enumerate(replicas)
        }
        assert len(owners) == min(len(replicas), len(instances))

    check_example()


@then("the owner of the n-th replica is among the first n instances of its ranking")
def check_ranking(context: Context) -> None:
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_instance_names, _target_names, _data_centres)
    def check_example(
        names: list[str], targets: list[str], data_centres: list[str]
    ) -> None:
        instances = [_instance(*pair) for pair in zip(names, data_centres)]
        replicas = [_target(*pair) for pair in zip(sorted(targets), data_centres[10:])]
        for number, replica in enumerate(replicas):
            owner = owner_of(replica, instances, replicas[:number])
            assert owner in ownership_ranking(replica, instances)[: number + 1]

    check_example()


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

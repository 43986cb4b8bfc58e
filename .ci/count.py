"""Prints how many scenarios of a behave report passed and failed."""

from json import load
from sys import argv

with open(argv[1], encoding="utf-8") as report:
    features = load(report)
statuses = [
    scenario.get("status", "failed")
    for feature in features
    for scenario in feature.get("elements", [])
    if scenario["type"] == "scenario"
]
passed = statuses.count("passed")
skipped = statuses.count("skipped")
print(passed, len(statuses) - passed - skipped)

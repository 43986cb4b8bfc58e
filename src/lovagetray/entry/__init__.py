"""The entry instance as a process."""

from lovagetray.entry._instance import EntryInstance

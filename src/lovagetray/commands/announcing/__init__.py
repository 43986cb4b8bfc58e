"""Announcements of replicas, from replicas and from other instances."""

from lovagetray.commands.announcing._announce import Announcing

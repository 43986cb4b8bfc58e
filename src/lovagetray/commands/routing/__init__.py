"""Commands that change the routing document."""

from lovagetray.commands.routing._change import put_document

"""The gateway as a process."""

from lovagetray.gateway._gateway import CallServer, FrontServer, Gateway, GatewayFormats

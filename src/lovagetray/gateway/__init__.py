"""The gateway as a process."""

from lovagetray.gateway._gateway import Gateway, GatewayFormats, GatewayServer

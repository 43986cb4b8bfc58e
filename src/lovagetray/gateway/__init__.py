"""The gateway as a process."""

from lovagetray.gateway._gateway import CallServer, FrontServer, Gateway, GatewayFormats
from lovagetray.gateway._gateway_log import agreement_settings

"""The gateway process."""

from lovagetray.gateway._gateway import (
    CallerFrontend,
    ControlServer,
    Gateway,
    GatewayFormats,
)
from lovagetray.gateway._listing import Listing
from lovagetray.gateway._replicated_log import agreement_settings

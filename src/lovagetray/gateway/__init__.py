"""The gateway process."""

from lovagetray.gateway._access import AccessControl
from lovagetray.gateway._dispatcher import Dispatcher
from lovagetray.gateway._gateway import Gateway
from lovagetray.gateway._interfaces import (
    CallerFrontend,
    ControlServer,
    GatewayFormats,
)
from lovagetray.gateway._listing import Listing
from lovagetray.gateway._replicated_log import agreement_settings

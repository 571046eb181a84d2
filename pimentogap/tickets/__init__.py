"""Configuration by numbered change tickets."""

from pimentogap.tickets._configuration import Configuration
from pimentogap.tickets._decide import (
    Accept,
    AlreadyAccepted,
    FieldConflict,
    Invalid,
    Outdated,
    decide,
)
from pimentogap.tickets._freshness import (
    CURRENT_LIMIT_S,
    Current,
    Isolated,
    Reach,
    StoreOutage,
    Unknown,
    assess_freshness,
    may_serve,
)
from pimentogap.tickets._log import TicketLog
from pimentogap.tickets._outcomes import Accepted, NotAccepted, OutcomeUnknown
from pimentogap.tickets._service import ConfigurationService
from pimentogap.tickets._ticket import (
    AcceptedTicket,
    Ticket,
    TicketHeader,
    dump_accepted,
    dump_ticket,
    load_accepted,
    parse_ticket,
)
from pimentogap.tickets._validate import Violation, validate

__all__ = [
    "CURRENT_LIMIT_S",
    "Accept",
    "Accepted",
    "AcceptedTicket",
    "AlreadyAccepted",
    "Configuration",
    "ConfigurationService",
    "Current",
    "FieldConflict",
    "Invalid",
    "Isolated",
    "NotAccepted",
    "Outdated",
    "OutcomeUnknown",
    "Reach",
    "StoreOutage",
    "Ticket",
    "TicketHeader",
    "TicketLog",
    "Unknown",
    "Violation",
    "assess_freshness",
    "decide",
    "dump_accepted",
    "dump_ticket",
    "load_accepted",
    "may_serve",
    "parse_ticket",
    "validate",
]

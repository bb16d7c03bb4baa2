"""All specifications by name, and their selection for the command line.

>>> first, *others = sorted(SPECIFICATIONS)
>>> first, len(others)
('claims', 9)
"""

from __future__ import annotations

from passgate.check.specification.claims import CLAIMS
from passgate.check.specification.configuration import CONFIGURATION
from passgate.check.specification.evacuation import EVACUATION
from passgate.check.specification.graceful_shutdown import GRACEFUL_SHUTDOWN
from passgate.check.specification.leadership import LEADERSHIP
from passgate.check.specification.leases import LEASES
from passgate.check.specification.lots import LOTS
from passgate.check.specification.model_checker import Specification
from passgate.check.specification.permits import PERMITS
from passgate.check.specification.replica_incarnations import REPLICA_INCARNATIONS
from passgate.check.specification.usage_reports import USAGE_REPORTS
from passgate.errors import NotFound

SPECIFICATIONS: dict[str, Specification] = {
    specification.name: specification
    for specification in (
        GRACEFUL_SHUTDOWN,
        LEASES,
        LEADERSHIP,
        CLAIMS,
        CONFIGURATION,
        EVACUATION,
        LOTS,
        USAGE_REPORTS,
        PERMITS,
        REPLICA_INCARNATIONS,
    )
}


def select_specifications(name: str = "") -> list[Specification]:
    """Return the named specification, or all of them for an empty name.

    Raises:
        NotFound: there is no specification of that name.
    """
    if not name:
        return list(SPECIFICATIONS.values())
    if name not in SPECIFICATIONS:
        raise NotFound(f"no specification {name!r}; known are {', '.join(SPECIFICATIONS)}", name=name)
    return [SPECIFICATIONS[name]]

"""Which troubles of a day came about: the bench leaves out what its deployment can't bear or has nothing for."""

import collections

from . import days

CLOSING = "closing"


def missing(day, events):
    """How often each kind of a day did not strike, by the events of the run's report; kinds that all struck are left out."""
    asked = collections.Counter(entry["kind"] for name in days.LISTS for entry in day.get(name, []))
    if day.get(CLOSING):
        asked[CLOSING] += 1
    struck = collections.Counter(event["kind"].partition(" ")[0] for event in events)
    return dict(asked - struck)

"""The replica of the folded state on an entry host.

The state is folded from the records of the platform's log. This library reads
and appends records, keeps the membership lease and writes snapshots.
"""

from coltsfootseam.replication.catchup import PeerCatchUp
from coltsfootseam.replication.connectivity import Connectivity
from coltsfootseam.replication.expiry import MemberExpiry
from coltsfootseam.replication.follower import FollowTimes, LogFollower
from coltsfootseam.replication.lease import LeaseManager, MemberIdentity
from coltsfootseam.replication.proposer import Proposer
from coltsfootseam.replication.replica import Replica
from coltsfootseam.replication.snapshotter import Snapshotter

__all__ = [
    "Connectivity",
    "FollowTimes",
    "LeaseManager",
    "LogFollower",
    "MemberExpiry",
    "MemberIdentity",
    "PeerCatchUp",
    "Proposer",
    "Replica",
    "Snapshotter",
]

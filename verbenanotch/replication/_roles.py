"""Roles of a replica."""

import enum

# The member id that stands for an unknown leader and for no vote.
NO_MEMBER = ""


class Role(enum.StrEnum):
    """The role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"

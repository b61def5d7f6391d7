"""Roles of a replica."""

import enum

NO_MEMBER = ""


class Role(enum.StrEnum):
    """What a replica does in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"

"""The VMs of the system, and the groups that they form."""

from .member_encoding import (
    Member,
    build_record,
    forget_build_record,
    forget_lost_record,
    join_record,
    leave_record,
    lost_record,
)
from .member_groups import (
    GroupId,
    MemberView,
    majority_size,
    tolerated_losses,
)
from .members import Members

__all__ = [
    "GroupId",
    "Member",
    "MemberView",
    "Members",
    "build_record",
    "forget_build_record",
    "forget_lost_record",
    "join_record",
    "leave_record",
    "lost_record",
    "majority_size",
    "tolerated_losses",
]

"""The name under which a process is a member of the group.

The group lists only the names of its members, so the name contains what other
hosts need to know: the member's address and capacity.
"""

_SEPARATOR = "/"
_PART_COUNT = 3


def member_name(address: str, incarnation: str, millicores: int) -> str:
    """Returns the name under which a process joins the group."""
    return _SEPARATOR.join((address, incarnation, str(millicores)))


def address_of_member(member: str) -> str:
    """Returns the address at which peers call a member."""
    return member.split(_SEPARATOR, 1)[0]


def millicores_of_member(member: str) -> int:
    """Returns a member's capacity, 0 if its name doesn't contain it."""
    parts = member.split(_SEPARATOR)
    if len(parts) != _PART_COUNT or not parts[-1].isdecimal():
        return 0
    return int(parts[-1])

"""Settings file of the policies that apply in each region."""

import msgspec

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.scheduling import Policies, find_problem
from coltsfootseam.settings import load_yaml_as


class PolicySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the file.

    Attributes:
        default: Policies of all other regions.
        by_region: Policies of the regions that are named.
    """

    default: Policies = Policies()
    by_region: dict[str, Policies] = {}


def load_policies(path: str | None, region: str) -> Policies | Refusal:
    """Reads and checks the policies of a region.

    Args:
        path: The file, ``None`` or empty for the default policies.
        region: Name of the region.

    Returns:
        The policies, or a refusal that names the file and what is wrong in it,
        even if that is in another region's part.
    """
    if not path:
        return Policies()
    settings = load_yaml_as(path, PolicySettings)
    if isinstance(settings, Refusal):
        return settings
    parts = {"default": settings.default, **settings.by_region}
    for name, policies in parts.items():
        problem = find_problem(policies)
        if problem:
            return Refusal(
                ResultCode.SETTINGS_INVALID, f"{path}: {name}: {problem}"
            )
    return settings.by_region.get(region, settings.default)

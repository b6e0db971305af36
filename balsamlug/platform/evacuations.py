"""Decode the objects with which operators evacuate a failure domain."""

from balsamlug import validation
from balsamlug.store import objects

KIND = "evacuations"


def failure_domain(item: objects.StoredObject) -> str:
    """Return the failure domain that an object evacuates.

    Only its name counts; the content of the object is undefined.

    Raises:
      ValueError: the name cannot be that of a failure domain.
    """
    if len(item.name) > validation.MAX_NAME_LENGTH:
        raise ValueError("name is too long")
    item.name.encode()
    return item.name

"""Which settings a reload applies to a running entry process."""

import attrs

from balsamlug.config import schema

# Settings that a reload applies.
RELOADABLE_SETTINGS = (
    "grace_s",
    "retry_share",
    "retry_window_s",
    "retry_allowance",
)


def reloadable(settings: schema.EntrySettings) -> dict[str, object]:
    """Return the values of the settings that a reload applies, by name."""
    return {name: getattr(settings, name) for name in RELOADABLE_SETTINGS}


def need_restart(
    current: schema.EntrySettings, settings: schema.EntrySettings
) -> list[str]:
    """Return the names of changed settings that apply at the next start."""
    return [
        field.name
        for field in attrs.fields(schema.EntrySettings)
        if field.name not in RELOADABLE_SETTINGS
        and getattr(settings, field.name) != getattr(current, field.name)
    ]

"""Parse a base configuration with an overlay and report all problems."""

import configparser
import pathlib
from typing import Any

import attrs
from returns import result

from balsamlug import exceptions
from balsamlug.config import options
from balsamlug.config import schema

SECTION_SYNTAX = (
    "limits, deployment:<name>, customer:<name>, role:<customer>/<name>"
    " or service:<name>"
)
_TABLES: dict[str, dict[str, options.Option]] = {
    "limits": schema.LIMITS,
    "deployment": schema.DEPLOYMENT,
    "customer": schema.CUSTOMER,
    "role": schema.ROLE,
    "service": schema.SERVICE,
}


@attrs.frozen
class _Text:
    """An INI text and its name in error reports."""

    file: str
    text: str


@attrs.define
class _Reader:
    """Collect the values and problems of several texts."""

    problems: list[exceptions.ConfigProblem] = attrs.field(factory=list)
    # section -> option -> (raw text, last file that sets the option)
    raw: dict[str, dict[str, tuple[str, str]]] = attrs.field(factory=dict)

    def report(
        self, file: str, section: str, option: str, message: str, allowed: str
    ) -> None:
        self.problems.append(
            exceptions.ConfigProblem(file, section, option, message, allowed)
        )

    def read(self, source: _Text) -> None:
        parser = configparser.ConfigParser(
            interpolation=None, default_section="\0none"
        )
        try:
            parser.read_string(source.text)
        except configparser.Error as exc:
            message = " ".join(str(exc).split())
            self.report(source.file, "", "", message, "INI syntax")
            return
        for section in parser.sections():
            merged = self.raw.setdefault(section, {})
            for option, raw in parser.items(section):
                merged[option] = (raw, source.file)

    def file_of(self, section: str, fallback: str) -> str:
        files = [file for _, file in self.raw.get(section, {}).values()]
        return files[0] if files else fallback

    def values(
        self, section: str, table: dict[str, options.Option], file: str
    ) -> dict[str, Any] | None:
        """Return the parsed options of a section, or None after a problem."""
        problems_before = len(self.problems)
        raw = self.raw.get(section, {})
        self._reject_unknown(section, raw, table)
        parsed = {
            option: self._value(section, option, declared, raw, file)
            for option, declared in table.items()
        }
        return parsed if len(self.problems) == problems_before else None

    def _reject_unknown(
        self,
        section: str,
        raw: dict[str, tuple[str, str]],
        table: dict[str, options.Option],
    ) -> None:
        for option, (_, file) in raw.items():
            if option not in table:
                allowed = ", ".join(table)
                self.report(file, section, option, "unknown option", allowed)

    def _value(
        self,
        section: str,
        option: str,
        declared: options.Option,
        raw: dict[str, tuple[str, str]],
        file: str,
    ) -> Any:
        if option not in raw:
            if declared.required:
                option_file = self.file_of(section, file)
                self.report(
                    option_file, section, option, "is missing", declared.allowed
                )
            return declared.default
        text, source = raw[option]
        try:
            return declared.parse(text)
        except options.InvalidOption as exc:
            self.report(source, section, option, str(exc), declared.allowed)
            return declared.default


def load(
    base: str,
    overlay: str = "",
    names: tuple[str, str] = ("base", "overlay"),
) -> result.Result[schema.Settings, exceptions.ConfigError]:
    """Return the settings of a base text, overridden by a site's overlay.

    Args:
      names: names of the two texts in error reports.
    """
    reader = _Reader()
    reader.read(_Text(names[0], base))
    reader.read(_Text(names[1], overlay))
    settings = _settings(reader, names[0])
    if reader.problems:
        return result.Failure(exceptions.ConfigError(reader.problems))
    return result.Success(settings)


def load_node(
    path: pathlib.Path,
) -> result.Result[schema.NodeSettings, exceptions.ConfigError]:
    """Return the settings of a node from its file."""
    return _load_section(path, "node", schema.NODE).map(
        lambda values: schema.NodeSettings(**values)
    )


def load_entry(
    path: pathlib.Path,
) -> result.Result[schema.EntrySettings, exceptions.ConfigError]:
    """Return the settings of an entry process from its file."""
    return _load_section(path, "entry", schema.ENTRY).map(
        lambda values: schema.EntrySettings(**values)
    )


def _load_section(
    path: pathlib.Path, name: str, declared: dict[str, options.Option]
) -> result.Result[dict[str, Any], exceptions.ConfigError]:
    """Return the options of a file that has a single section."""
    reader = _Reader()
    try:
        reader.read(_Text(str(path), path.read_text()))
    except OSError as exc:
        reader.report(str(path), "", "", str(exc), "a readable INI file")
        return result.Failure(exceptions.ConfigError(reader.problems))
    for section in reader.raw:
        if section != name:
            reader.report(str(path), section, "", "unknown section", name)
    values = reader.values(name, declared, str(path))
    if reader.problems or values is None:
        return result.Failure(exceptions.ConfigError(reader.problems))
    return result.Success(values)


def _settings(reader: _Reader, file: str) -> schema.Settings:
    tables: dict[str, dict[str, dict[str, Any]]] = {}
    for section in list(reader.raw):
        section_type, _, name = section.partition(":")
        if not _is_known_section(section_type, name):
            reader.report(
                reader.file_of(section, file),
                section,
                "",
                "unknown section",
                SECTION_SYNTAX,
            )
            continue
        values = reader.values(section, _TABLES[section_type], file)
        if values is not None:
            tables.setdefault(section_type, {})[name] = values
    settings = _build(tables)
    _check_references(reader, settings, file)
    return settings


def _is_known_section(section_type: str, name: str) -> bool:
    return section_type in _TABLES and bool(name) == (section_type != "limits")


def _build(tables: dict[str, dict[str, dict[str, Any]]]) -> schema.Settings:
    limits = tables.get("limits", {}).get("", {})
    roles = {}
    for name, values in tables.get("role", {}).items():
        customer, _, role = name.partition("/")
        roles[customer, role] = schema.Role(customer, role, **values)
    return schema.Settings(
        schema.Limits(**limits),
        _table(schema.Deployment, tables.get("deployment", {})),
        _table(schema.Customer, tables.get("customer", {})),
        roles,
        _table(schema.Service, tables.get("service", {})),
    )


def _table(cls: type, sections: dict[str, dict[str, Any]]) -> dict[str, Any]:
    return {name: cls(name=name, **values) for name, values in sections.items()}


def _check_references(
    reader: _Reader, settings: schema.Settings, file: str
) -> None:
    _check_customers(reader, settings, file)
    _check_keys(reader, settings, file)
    _check_roles(reader, settings, file)
    _check_group_bounds(reader, settings, file)


def _check_customers(
    reader: _Reader, settings: schema.Settings, file: str
) -> None:
    # A section counts as declared even if it has errors, so that its errors do
    # not cause further reports for customers.
    declared = {
        section.partition(":")[2]
        for section in reader.raw
        if section.startswith("deployment:")
    }
    for customer in settings.customers.values():
        for name in customer.deployments:
            if name not in declared:
                section = f"customer:{customer.name}"
                reader.report(
                    reader.file_of(section, file),
                    section,
                    "deployments",
                    f"{name!r} is not a declared deployment",
                    ", ".join(sorted(declared)) or "a declared deployment",
                )


def _check_keys(reader: _Reader, settings: schema.Settings, file: str) -> None:
    customers_by_key: dict[str, str] = {}
    for customer in settings.customers.values():
        first_customer = customers_by_key.setdefault(
            customer.key, customer.name
        )
        if first_customer != customer.name:
            section = f"customer:{customer.name}"
            reader.report(
                reader.file_of(section, file),
                section,
                "key",
                f"is also the key of customer {first_customer!r}",
                "a different key for each customer",
            )


def _check_roles(reader: _Reader, settings: schema.Settings, file: str) -> None:
    declared = {
        section.partition(":")[2]
        for section in reader.raw
        if section.startswith("customer:")
    }
    for customer, role in settings.roles:
        if customer not in declared or not role:
            section = f"role:{customer}/{role}"
            reader.report(
                reader.file_of(section, file),
                section,
                "",
                "does not name a declared customer and a role",
                "role:<declared customer>/<name>",
            )


def _check_group_bounds(
    reader: _Reader, settings: schema.Settings, file: str
) -> None:
    for deployment in settings.deployments.values():
        if deployment.max_groups < deployment.min_groups:
            section = f"deployment:{deployment.name}"
            reader.report(
                reader.file_of(section, file),
                section,
                "max_groups",
                "is less than min_groups",
                f"at least {deployment.min_groups}",
            )

"""Which service each engine, group and deployment belongs to.

Services that run models have engines and models of their own, also where their
engines share a fabric domain or their models a name. Groups are planned for
each service apart. Settings whose deployments name no service use all engines.
"""

from collections.abc import Mapping

import attrs

from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.config import schema

# Service of all engines and groups where the deployments name none.
ANY = ""


@attrs.define
class Services:
    """Services of the engines and groups in the state of a node."""

    _state: fleet.FleetState

    def of_instance(self, instance: tables.Instance) -> str:
        """Return the service of an engine."""
        return instance.service if self._are_distinct() else ANY

    def _are_distinct(self) -> bool:
        """Return whether deployments name the services that they are of."""
        deployments = self._state.settings.deployments.values()
        return any(d.service for d in deployments)

    def of_group(self, group: tables.Group) -> str:
        """Return the service of a group: that of its first listed member.

        Without a listed member, it is a service that has the deployment.
        """
        for member in group.members:
            listed = self._state.instances.get(member)
            if listed is not None:
                return self.of_instance(listed)
        return min(
            (
                d.service
                for d in self._state.settings.deployments.values()
                if d.name == group.deployment
            ),
            default=ANY,
        )

    def of_groups(
        self, groups: Mapping[str, tables.Group], service: str
    ) -> dict[str, tables.Group]:
        """Return the groups that belong to a service."""
        return {k: g for k, g in groups.items() if self.of_group(g) == service}

    def is_mixed(self, group: tables.Group) -> bool:
        """Return whether listed members belong to different services.

        Builds that planned without regard to the service formed such groups.
        """
        listed = map(self._state.instances.get, group.members)
        named = {i.service for i in listed if i is not None}
        return len(named) > 1 and self._are_distinct()

    def deployments(self, service: str) -> dict[str, schema.Deployment]:
        """Return the deployments of a service by name."""
        return {
            d.name: d
            for d in self._state.settings.deployments.values()
            if d.service == service
        }

    def settings(self, service: str) -> schema.Settings:
        """Return the settings with the deployments of a service only."""
        return attrs.evolve(
            self._state.settings, deployments=self.deployments(service)
        )

"""What a control host knows of the mesh that steps of rollouts depend on."""

import time

import attrs

# A proxy that has not renewed its lease for this long is out of touch: it is
# not waited for.
MAX_SILENCE_SECONDS = 1.5
# The summary of another zone that is older does not count either.
MAX_SUMMARY_AGE_SECONDS = 5.0


@attrs.frozen(kw_only=True)
class MeshView:
    """The targets of all zones, and the versions that proxies acknowledged.

    `summaries_by_zone` has the ReceivedSummary of each other zone,
    `proxy_channel` the connected proxies.
    """

    target_registry: object
    acknowledgements: object
    summaries_by_zone: object
    proxy_channel: object
    monotonic: object = time.monotonic

    def slots(self, service, candidate):
        """Return the slots of the candidate's targets, and of all others."""
        candidate_slots = old_slots = 0
        for record in self.target_registry.records_by_host.values():
            for target in record.targets:
                if target.service != service or target.draining:
                    continue
                if target.software_version == candidate:
                    candidate_slots += target.slots
                else:
                    old_slots += target.slots
        return candidate_slots, old_slots

    def has_acknowledged(self, version):
        """Return whether `version` is active at all proxies in touch."""
        now = self.monotonic()
        table = self.target_registry.zone_table
        if table.warm_up_remaining_seconds(now=now) > 0:
            return False
        hosts = table.hosts_renewed_since(now - MAX_SILENCE_SECONDS)
        hosts &= set(self.proxy_channel.hosts)
        if any(
            self.acknowledgements.version(host) < version for host in hosts
        ):
            return False
        return all(
            received.summary.lowest >= version
            for zone, received in self.summaries_by_zone.items()
            if zone != table.availability_zone
            and now - received.received_at < MAX_SUMMARY_AGE_SECONDS
        )

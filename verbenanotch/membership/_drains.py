"""Drains of targets, which outlast the proxies that announce them."""

import attrs

MAX_DRAINS = 4096


class Drains:
    """The starts of targets that get no new requests.

    A drain belongs to a target's incarnation. Its proxy has it in memory
    alone, and announces the target without it after a restart. The oldest
    of more than `MAX_DRAINS` are forgotten.
    """

    def __init__(self):
        """Start without drains."""
        self._incarnations_by_target_id = {}

    def apply(self, record):
        """Record the drains in a HostRecord; return it with all known ones."""
        for target in record.targets:
            if target.draining:
                self._add(target)
        if not any(self._is_forgotten(target) for target in record.targets):
            return record
        return attrs.evolve(
            record,
            targets=tuple(
                attrs.evolve(target, draining=True)
                if self._is_forgotten(target)
                else target
                for target in record.targets
            ),
        )

    def _add(self, target):
        incarnations = self._incarnations_by_target_id
        known = incarnations.pop(target.target_id, target.incarnation)
        incarnations[target.target_id] = max(known, target.incarnation)
        if len(incarnations) > MAX_DRAINS:
            del incarnations[next(iter(incarnations))]

    def _is_forgotten(self, target):
        known = self._incarnations_by_target_id.get(target.target_id, -1)
        return not target.draining and target.incarnation <= known

"""What the operator's own file switches on, around a front; imported only where that file is named."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from micahold.membership.group import Group, GroupOptions
from micahold.membership.keyring import Keyring
from micahold.membership.service import GossipService
from micahold.membership.signing import Ed25519Signer, KeyFileError, read_keyring, read_signing_keys
from micahold.program.front import Front
from micahold.program.operator_file import OperatorFileError, changed_settings, read_settings_file
from micahold.program.operator_settings import GossipSettings, OperatorSettings
from micahold.program.structured import bind_logger


def read_settings_and_keys(path: str) -> tuple[OperatorSettings, Ed25519Signer | None, Keyring | None]:
    """The file and the key files it names; ``OperatorFileError`` where any can't be used."""
    settings = read_settings_file(path)
    if settings.gossip is None:
        return settings, None, None
    try:
        return (
            settings,
            Ed25519Signer(read_signing_keys(settings.gossip.keys)),
            read_keyring(settings.gossip.members),
        )
    except KeyFileError as problem:
        raise OperatorFileError([str(problem)]) from None


def group_options(gossip: GossipSettings, front_name: str, told: int) -> GroupOptions:
    """The settings as the group wants them."""
    return GroupOptions(
        name=gossip.name or front_name,
        address=gossip.advertise or gossip.listen,
        seeds=gossip.seeds,
        rate=gossip.rate,
        rate_in=gossip.rate_in,
        period=gossip.period,
        probe_timeout=gossip.probe_timeout,
        clock_error=gossip.clock_error,
        removed_members=gossip.gone,
        configured_gateways=told,
    )


class OperatorSubsystems:
    """The subsystems that are on; ``OperatorFileError`` from the constructor where they can't be."""

    def __init__(self, path: str, front: Front, clock: Any, now: Callable[[], float], log: Any) -> None:
        self.path, self.front, self.now, self.log = path, front, now, log
        self.settings, hand, keyring = read_settings_and_keys(path)
        self.gossip: GossipService | None = None
        configuration = front.configuration
        if self.settings.gossip is not None and hand is not None and keyring is not None:
            options = group_options(
                self.settings.gossip, configuration.name, configuration.settings.gateway_count
            )
            if options.name not in keyring.keys:
                raise OperatorFileError([f"{self.settings.gossip.members}: no member {options.name}"])
            group = Group(options, hand, keyring, now(), configuration.seed)
            self.gossip = GossipService(
                clock,
                now,
                group,
                self.settings.gossip.listen,
                bind_logger(log, part="gossip").info,
                front.exchange.post_event,
                self.settings.gossip.hearsay,
            )
            front.exchange.observer = self.gossip.observe

    def start(self) -> None:
        if self.gossip is not None:
            self.gossip.start()

    def leave(self) -> None:
        if self.gossip is not None:
            self.gossip.leave()

    def stop(self) -> None:
        if self.gossip is not None:
            self.gossip.stop()

    def counters(self) -> dict[str, int]:
        return self.gossip.counters() if self.gossip is not None else {}

    def reload(self) -> None:
        """SIGHUP: what can change in service does; a file that can't be used changes nothing."""
        try:
            settings, hand, keyring = read_settings_and_keys(self.path)
        except OperatorFileError as problem:
            self.log("operator_reload_refused", errors=problem.problems)
            return
        taken, waits = changed_settings(self.settings, settings)
        old, new = self.settings.gossip, settings.gossip
        if self.gossip is not None and old is not None and new is not None and hand and keyring:
            configuration = self.front.configuration
            told = group_options(old, configuration.name, configuration.settings.gateway_count)
            fresh = group_options(new, configuration.name, configuration.settings.gateway_count)
            if told.name not in keyring.keys:
                self.log("operator_reload_refused", errors=[f"{new.members}: no member {told.name}"])
                return
            # Only what may change in service; the rest stays as it was at the start.
            kept = replace(
                told,
                seeds=fresh.seeds,
                rate=fresh.rate,
                rate_in=fresh.rate_in,
                removed_members=fresh.removed_members,
            )
            self.gossip.reconfigure(kept, hand, keyring, new.hearsay)
        self.log("operator_reload", taken_over=taken, only_on_restart=waits)
        if not waits:
            self.settings = settings

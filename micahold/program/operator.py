"""The subsystems that the operator's own file enables around a front.

The module is imported only where ``MICAHOLD_OPERATOR`` names such a file.
"""

from __future__ import annotations

import time
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
    """The operator's file at ``path`` with the keys it names, which are None where gossip is off.

    Raises ``OperatorFileError`` where one of the files is not usable.
    """
    settings = read_settings_file(path)
    if settings.gossip is None:
        return settings, None, None
    try:
        return (
            settings,
            Ed25519Signer(read_signing_keys(settings.gossip.keys)),
            read_keyring(settings.gossip.members),
        )
    except KeyFileError as error:
        raise OperatorFileError([str(error)]) from None


def group_options(gossip: GossipSettings, front_name: str, gateway_count: int) -> GroupOptions:
    """The options of the group according to the settings of the operator's file.

    ``front_name`` and ``gateway_count`` come from the platform's configuration.
    """
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
        configured_gateways=gateway_count,
    )


class OperatorSubsystems:
    """Creates the subsystems that the file at ``path`` enables, connects them to ``front`` and runs them.

    ``clock`` is the reactor. The constructor raises ``OperatorFileError`` where
    the file, a key file it names or the member's name is not usable.
    """

    def __init__(self, path: str, front: Front, clock: Any, log: Any) -> None:
        self.path = path
        self.front = front
        self.log = log
        self.settings, signer, keyring = read_settings_and_keys(path)
        self.gossip: GossipService | None = None
        configuration = front.configuration
        if self.settings.gossip is not None and signer is not None and keyring is not None:
            options = group_options(
                self.settings.gossip, configuration.name, configuration.settings.gateway_count
            )
            if options.name not in keyring.keys:
                raise OperatorFileError([f"{self.settings.gossip.members}: no member {options.name}"])
            now = time.monotonic()
            group = Group(options, signer, keyring, now, configuration.seed, time.time() - now)
            self.gossip = GossipService(
                clock,
                time.monotonic,
                time.time,
                group,
                self.settings.gossip.listen,
                bind_logger(log, part="gossip").info,
                front.exchange.post_event,
                self.settings.gossip.hearsay,
            )
            front.exchange.observer = self.gossip.observe

    def start(self) -> None:
        """Starts gossip if it is on; ``CannotListenError`` where its address is in use."""
        if self.gossip is not None:
            self.gossip.start()

    def leave(self) -> None:
        """Announces the exit of this member to the group."""
        if self.gossip is not None:
            self.gossip.leave()

    def stop(self) -> None:
        """Stops gossip if it is on."""
        if self.gossip is not None:
            self.gossip.stop()

    def counters(self) -> dict[str, int]:
        """The counters of gossip; empty where it is off."""
        return self.gossip.counters() if self.gossip is not None else {}

    def reload(self) -> None:
        """Applies the settings and keys that may change in service; an unusable file changes nothing."""
        try:
            settings, signer, keyring = read_settings_and_keys(self.path)
        except OperatorFileError as error:
            self.log("operator_reload_refused", errors=error.problems)
            return
        applied, on_restart = changed_settings(self.settings, settings)
        old = self.settings.gossip
        new = settings.gossip
        if self.gossip is not None and old is not None and new is not None and signer and keyring:
            configuration = self.front.configuration
            old_options = group_options(old, configuration.name, configuration.settings.gateway_count)
            new_options = group_options(new, configuration.name, configuration.settings.gateway_count)
            if old_options.name not in keyring.keys:
                self.log("operator_reload_refused", errors=[f"{new.members}: no member {old_options.name}"])
                return
            # The settings that need a restart keep their values from the start.
            options = replace(
                old_options,
                seeds=new_options.seeds,
                rate=new_options.rate,
                rate_in=new_options.rate_in,
                removed_members=new_options.removed_members,
            )
            self.gossip.reconfigure(options, signer, keyring, new.hearsay)
        self.log("operator_reload", taken_over=applied, only_on_restart=on_restart)
        if not on_restart:
            self.settings = settings

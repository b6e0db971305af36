"""Quarantine the parts of requests that crash servers.

A subject is what requests may have in common: the fingerprint of the whole
request or a part of its prompt. Every process publishes the crashes of servers
that were about to answer a request, for each of its subjects. A subject with
too many crashes is refused until an attempt with it has proven it sound. Such
attempts are tests, which the processes announce to each other.

Of a long prompt, only the first parts are published one by one. The others are
told together, and those that enough crashes have in common are then published
by every process that sees this.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import random

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import crashed_prompts
from balsamlug import exceptions
from balsamlug import proofs
from balsamlug import quarantine_turns as turns
from balsamlug import state as fleet
from balsamlug import suspects
from balsamlug import suspicions
from balsamlug.messages import types

Kind = suspicions.Kind

# An attempt whose server has answered for this time is sound. Servers crashed
# 0.05 to 0.12 s after the attempt began to run.
PROOF_S = 1.0
# Time from the last crash or test of a subject to its next test. With the
# spread of a small fleet, the first test is sent within the 3 s in which the
# platform still tolerates requests after a crash.
TEST_DELAY_S = 2.0
# Parts of a prompt for which a crash is published one by one, and parts that
# the crashes have in common that are published at once. Prompts of the platform
# have a few parts.
MAX_PARTS = 32
PART = suspicions.PART
# Interval between removals of expired crashes.
CLEANUP_INTERVAL_S = 60.0
_TEST_BITS = 64


@attrs.frozen
class _Answer:
    """A suspicion that is published at the next use of the quarantine.

    Attributes:
      seen_s: monotonic time of the event, None for that of the publishing.
    """

    name: suspicions.Name
    count: int = suspicions.SUSPECTED
    seen_s: float | None = None


@attrs.define
class Quarantine:
    """Crashes of servers by subject, from all processes of the fleet.

    Attributes:
      node: id of this node. Few nodes make the late tests of a subject.
      on_publish: called with every suspicion that this process publishes.
    """

    _fleet: fleet.FleetState
    _clock: clocks.Clock
    node: str = ""
    limits: suspicions.Limits = attrs.field(factory=suspicions.Limits)
    on_publish: Callable[[types.Message], None] = lambda message: None
    _rng: random.Random = attrs.field(factory=random.Random)
    _records: dict[str, suspects.Record] = attrs.field(factory=dict)
    # By key of the subject, as are the records.
    _proofs: proofs.Proofs = attrs.field(factory=proofs.Proofs)
    # Parts with enough crashes to be quarantined.
    _suspected_parts: set[str] = attrs.field(factory=set)
    # What this process answers to the messages of others.
    _answers: list[_Answer] = attrs.field(factory=list)
    _cleaned_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        self._fleet.subscribe(self._on_update)

    def record_crash(
        self,
        subjects: Iterable[str],
        group: str,
        generation: int | str,
        crashed_s: float | None = None,
    ) -> None:
        """Record on all nodes that a server crashed, now or at a past time.

        Args:
          group, generation: for an instance of a plain service, its id and
            incarnation.
        """
        now_s = self._clock.monotonic()
        crashed_s = now_s if crashed_s is None else crashed_s
        age_ms = max(0, int((now_s - crashed_s) * clocks.MS_PER_S))
        suspected = [
            subject
            for subject in subjects
            if self._proofs.time(suspicions.key(subject)) < crashed_s
        ]
        if not suspected:
            return
        loss = suspicions.crash_id(group, generation)
        single, common = _split(suspected)
        eliot.log_message(
            "crash_recorded",
            group=group,
            generation=generation,
            age_ms=age_ms,
            subjects=single,
            further_parts=len(common),
        )
        for subject in single:
            name = suspicions.Name(subject, Kind.CRASH, loss)
            self._publish(name, age_ms=age_ms)
        for message in crashed_prompts.messages(loss, age_ms, common):
            self._fleet.publish(message, now_s)
        self._publish_answers()

    def open_check(
        self, subjects: Iterable[str], loss: str, broken_s: float
    ) -> list[suspicions.Name]:
        """Announce that a server may have crashed.

        The check counts as a crash of a whole request. It does not count for
        parts, which sound requests share.

        Args:
          loss: id of the crash that is checked.
          broken_s: time at which the attempt broke off.

        Returns:
          the checks that the caller must close if it has not crashed.
        """
        age_s = self._clock.monotonic() - broken_s
        age_ms = max(0, int(age_s * clocks.MS_PER_S))
        checks = [
            suspicions.Name(subject, Kind.CHECK, loss)
            for subject in subjects
            if not subject.startswith(PART)
        ]
        eliot.log_message(
            "crash_check_opened", crash=loss, subjects=[*map(str, checks)]
        )
        for check in checks:
            self._publish(check, age_ms=age_ms)
        return checks

    def close_checks(self, checks: Iterable[suspicions.Name]) -> None:
        """Announce that the servers have not crashed."""
        for check in checks:
            self._publish(check, suspicions.CLEARED)

    def record_proof(self, subjects: Iterable[str], began_s: float) -> None:
        """Clear the subjects of an attempt of earlier crashes, on all nodes.

        Args:
          began_s: time at which the server began to answer the attempt. Later
            crashes are not refuted: a subject may have become harmful since.
        """
        self._publish_answers()
        for subject in subjects:
            key = suspicions.key(subject)
            self._proofs.record(key, began_s)
            record = self._records.get(key)
            if record is not None:
                self._clear(subject, record, began_s)

    def crashes(self, subject: str, pending: Collection[str] = ()) -> int:
        """Return the number of crashes, with those not yet confirmed."""
        return len(self._possible(subject).keys() | set(pending))

    def quarantined(
        self, subjects: Iterable[str], pending: Collection[str] = ()
    ) -> list[str]:
        """Return the subjects of a request that are quarantined."""
        if not self._records and not pending:
            return []
        # A long prompt has thousands of subjects, of which few have records.
        are_all_suspected = len(pending) >= self.limits.quarantined
        return [
            subject
            for subject in subjects
            if (are_all_suspected or suspicions.key(subject) in self._records)
            and self.is_quarantined(subject, pending)
        ]

    def is_quarantined(
        self, subject: str, pending: Collection[str] = ()
    ) -> bool:
        """Return whether requests with a subject are refused or tests."""
        is_suspected = self.crashes(subject, pending) >= self.limits.quarantined
        return is_suspected and not self._is_excused(subject, pending)

    def check(
        self, subjects: Iterable[str], pending: Collection[str] = ()
    ) -> list[str]:
        """Return the quarantined subjects that a request would test now.

        Args:
          pending: ids of crashes in this request that are not yet confirmed.

        Raises:
          SuspectedRequest: a subject is quarantined and must not be tested now.
        """
        self._publish_answers()
        quarantined = self.quarantined(subjects, pending)
        if not quarantined:
            return []
        alone = len(quarantined) == 1
        waits = {s: self._wait_s(s, pending, alone) for s in quarantined}
        subject = max(waits, key=waits.__getitem__)
        if waits[subject] > 0:
            raise exceptions.SuspectedRequest(
                f"several servers crashed while they ran {subject}",
                int(waits[subject] * clocks.MS_PER_S) + 1,
            )
        return quarantined

    def admit(
        self, subjects: Iterable[str], pending: Collection[str] = ()
    ) -> list[suspicions.Name]:
        """Check a request that is sent now, and announce it if it is a test.

        Returns:
          the tests that the caller must end when their outcome is known.

        Raises:
          SuspectedRequest: a subject is quarantined and must not be tested now.
        """
        tested = self.check(subjects, pending)
        if not tested:
            return []
        eliot.log_message("quarantine_test", subjects=tested)
        token = f"{self._rng.getrandbits(_TEST_BITS):x}"
        tests = [suspicions.Name(s, Kind.TEST, token) for s in tested]
        for test in tests:
            self._publish(test)
        return tests

    def end_tests(self, tests: Iterable[suspicions.Name]) -> None:
        """Announce that tests crashed no server, or were not sent."""
        for test in tests:
            self._publish(test, suspicions.CLEARED)

    @property
    def _announced_crashes(self) -> int:
        """Return the crashes at which an earlier proof is announced."""
        return self.limits.quarantined - 1

    def _recent(self, subject: str) -> dict[str, float]:
        """Return the crashes of a subject that have not expired."""
        record = self._records.get(suspicions.key(subject))
        if record is None:
            return {}
        return record.recent_crashes(self._clock.monotonic())

    def _possible(self, subject: str) -> dict[str, float]:
        """Return the recent crashes and those that are being checked."""
        record = self._records.get(suspicions.key(subject))
        if record is None:
            return {}
        return record.possible_crashes(self._clock.monotonic())

    def _wait_s(
        self, subject: str, pending: Collection[str], alone: bool
    ) -> float:
        """Return the time until a quarantined subject may be sent."""
        now_s = self._clock.monotonic()
        crashes = dict.fromkeys(pending, now_s) | self._possible(subject)
        times = sorted(crashes.values())
        record = self._records.get(suspicions.key(subject), suspects.Record())
        if not self._may_test(subject, times, record, alone):
            return record.release_s(times, self.limits.quarantined) - now_s
        latest_s = max([*times, *record.tests])
        return (
            latest_s + TEST_DELAY_S + self._turn_s(subject, len(times)) - now_s
        )

    def _turn_s(self, subject: str, crashes: int) -> float:
        """Return the addition to the test delay that separates the nodes."""
        if crashes >= self.limits.untested:
            # Only one node tests from then on.
            return 0.0
        return turns.delay_s(self._fleet, subject, crashes, self.node)

    def _may_test(
        self,
        subject: str,
        times: list[float],
        record: suspects.Record,
        alone: bool,
    ) -> bool:
        if not subject.startswith(PART):
            return self._may_test_request(subject, times, record)
        if len(times) < self.limits.untested:
            return True
        # Requests with a harmful subject would use up the last tests of the
        # sound ones that they share with others.
        if not alone:
            return False
        if not self._was_sound(subject) and not self._is_explained(subject):
            return False
        due_s = max([*times, *record.tests]) + TEST_DELAY_S
        waited_s = self._clock.monotonic() - due_s
        if not turns.is_responsible(self._fleet, subject, self.node, waited_s):
            return False
        since_s = times[self.limits.untested - 1]
        return record.tests_since(since_s) < self.limits.late_tests

    def _may_test_request(
        self, subject: str, times: list[float], record: suspects.Record
    ) -> bool:
        """Return whether a whole request may be tested.

        A test counts as a crash until it is known that nothing crashed, because
        the crash of a host that answers nothing is found late.
        """
        since_s = times[self.limits.quarantined - 1]
        # Several tests may have crashed one server, before the nodes heard of
        # each other's.
        tests = record.open_tests_since(since_s)
        crashes = max(len(times), self.limits.quarantined + tests)
        if crashes <= self.limits.quarantined:
            return True
        return crashes < self.limits.untested and turns.is_responsible(
            self._fleet, subject, self.node
        )

    def _is_explained(self, subject: str) -> bool:
        """Return whether parts that never were sound share the crashes."""
        others: set[str] = set()
        for other in self._never_sound_suspects(subject):
            others.update(self._recent(other))
        unexplained = self._recent(subject).keys() - others
        return len(unexplained) < self.limits.quarantined

    def _is_excused(self, subject: str, pending: Collection[str]) -> bool:
        """Return whether another part is the cause of a sound one's crashes.

        A single part must explain them: each of the requests with a harmful
        part that was sound before may contain another part that never was.
        """
        if not self._was_sound(subject):
            return False
        crashes = {*self._recent(subject), *pending}
        return any(
            len(crashes - self._recent(other).keys()) < self.limits.quarantined
            for other in self._never_sound_suspects(subject)
        )

    def _never_sound_suspects(self, subject: str) -> list[str]:
        """Return other parts with enough crashes and without any proof."""
        others = self._suspected_parts - {suspicions.key(subject)}
        return [other for other in others if not self._was_sound(other)]

    def _was_sound(self, subject: str) -> bool:
        key = suspicions.key(subject)
        record = self._records.get(key)
        return key in self._proofs or (record is not None and record.was_sound)

    def _clear(
        self, subject: str, record: suspects.Record, began_s: float
    ) -> None:
        times = {Kind.CRASH: record.crashes, Kind.CHECK: record.checks}
        refuted = [
            name
            for kind, by_loss in times.items()
            for loss, crashed_s in by_loss.items()
            if crashed_s <= began_s
            for name in self._published(suspicions.Name(subject, kind, loss))
        ]
        if not refuted:
            return
        eliot.log_message(
            "suspicion_cleared", subject=subject, crashes=len(refuted)
        )
        for name in refuted:
            self._publish(name, suspicions.CLEARED)

    def _published(self, name: suspicions.Name) -> list[suspicions.Name]:
        """Return the names under which a suspicion of a subject is known.

        Crashes of a part are published by its name, its hash, or both.
        """
        hashed = attrs.evolve(name, subject=suspicions.key(name.subject))
        known = self._fleet.suspicions
        return [n for n in {name, hashed} if str(n) in known] or [name]

    def _publish_answers(self) -> None:
        # A listener must not publish: the peer that sent the suspicion would
        # not be sent the answer.
        answers, self._answers = self._answers, []
        now_s = self._clock.monotonic()
        for answer in answers:
            seen_s = now_s if answer.seen_s is None else answer.seen_s
            age_ms = max(0, int((now_s - seen_s) * clocks.MS_PER_S))
            self._publish(answer.name, answer.count, age_ms)

    def _publish(
        self,
        name: suspicions.Name,
        count: int = suspicions.SUSPECTED,
        age_ms: int = 0,
    ) -> None:
        update = types.SuspicionUpdate(str(name), count, age_ms)
        self._fleet.publish(update, self._clock.monotonic())
        self.on_publish(update)

    def _on_update(self, message: types.Message) -> None:
        if isinstance(message, types.CrashedPrompt):
            self._find_common(suspicions.unpack_parts(message.parts))
        if not isinstance(message, types.SuspicionUpdate):
            return
        now_s = self._clock.monotonic()
        self._drop_old(now_s)
        seen_s = now_s - message.age_ms / clocks.MS_PER_S
        name = suspicions.parse(message.fingerprint)
        if name.kind is Kind.TEST:
            self._record_test(name, message, seen_s)
        elif name.kind is Kind.CHECK:
            self._record_check(name, message, seen_s)
        elif name.kind is Kind.PROOF:
            self._record(name.subject).was_sound = True
        elif message.crashes >= suspicions.CLEARED:
            self._remove(name.subject, name.event)
        elif seen_s <= self._proofs.time(suspicions.key(name.subject)):
            self._answers.append(_Answer(name, suspicions.CLEARED))
        else:
            self._add(name.subject, name.event, seen_s)

    def _record_test(
        self,
        name: suspicions.Name,
        message: types.SuspicionUpdate,
        seen_s: float,
    ) -> None:
        record = self._record(name.subject)
        if message.crashes >= suspicions.CLEARED:
            record.end_test(name.event, seen_s)
        else:
            record.start_test(name.event, seen_s)

    def _record_check(
        self,
        name: suspicions.Name,
        message: types.SuspicionUpdate,
        seen_s: float,
    ) -> None:
        checks = self._record(name.subject).checks
        if message.crashes >= suspicions.CLEARED:
            checks.pop(name.event, None)
        else:
            checks[name.event] = seen_s

    def _find_common(self, parts: Collection[int]) -> None:
        """Publish the crashes of parts that enough crashes have in common.

        Parts that never were sound come first. Their number is limited: where
        none of many parts is known to be sound, all requests that crash servers
        contain each of them.
        """
        found = {}
        for part, crashes in self._fleet.prompts.crashes(parts).items():
            key = suspicions.hashed_part(part)
            missing = self._missing_crashes(key, crashes)
            count = len(self._recent(key)) + len(missing)
            if missing and count >= self.limits.quarantined:
                found[key] = missing
        ordered = sorted(found, key=lambda key: (self._was_sound(key), key))
        for key in ordered[:MAX_PARTS]:
            self._answers += [
                _Answer(name, seen_s=found[key][name]) for name in found[key]
            ]

    def _missing_crashes(
        self, key: str, crashes: Mapping[str, float]
    ) -> dict[suspicions.Name, float]:
        """Return the crashes of a part that are neither known nor refuted."""
        known, proven_s = self._recent(key), self._proofs.time(key)
        return {
            name: crashed_s
            for loss, crashed_s in crashes.items()
            if loss not in known
            and crashed_s > proven_s
            and str(name := suspicions.Name(key, Kind.CRASH, loss))
            not in self._fleet.suspicions
        }

    def _record(self, subject: str) -> suspects.Record:
        key = suspicions.key(subject)
        return self._records.setdefault(key, suspects.Record())

    def _remove(self, subject: str, loss: str) -> None:
        key = suspicions.key(subject)
        record = self._records.get(key)
        if record is None:
            return
        record.crashes.pop(loss, None)
        if len(record.crashes) < self.limits.quarantined:
            self._suspected_parts.discard(key)

    def _add(self, subject: str, loss: str, crashed_s: float) -> None:
        self._record(subject).crashes[loss] = crashed_s
        key, recent = suspicions.key(subject), self._recent(subject)
        if key in self._proofs and len(recent) == self._announced_crashes:
            proof = suspicions.Name(subject, Kind.PROOF)
            self._answers.append(_Answer(proof))
        is_part = subject.startswith(PART)
        if is_part and len(recent) >= self.limits.quarantined:
            self._suspected_parts.add(key)
        elif is_part:
            self._find_common({suspicions.part_hash(subject)})
        if len(recent) == self.limits.quarantined:
            eliot.log_message(
                "part_quarantined", subject=subject, crashes=list(recent)
            )

    def _drop_old(self, now_s: float) -> None:
        if now_s - self._cleaned_s < CLEANUP_INTERVAL_S:
            return
        self._cleaned_s = now_s
        self._records = {
            subject: record
            for subject, record in self._records.items()
            if record.is_recent(now_s)
        }
        self._suspected_parts &= self._records.keys()


def _split(subjects: Iterable[str]) -> tuple[list[str], list[int]]:
    """Return the subjects to publish one by one, and the hashes of the rest."""
    single: list[str] = []
    parts: list[str] = []
    for subject in subjects:
        (parts if subject.startswith(PART) else single).append(subject)
    further = [suspicions.part_hash(part) for part in parts[MAX_PARTS:]]
    return single + parts[:MAX_PARTS], further

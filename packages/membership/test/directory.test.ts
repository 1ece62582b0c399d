import fc from "fast-check";
import t from "tap";
import { Directory } from "@clementinemux/membership/Directory";
import { RecordKind } from "@clementinemux/membership/RecordKind";
import { createAnnouncement } from "./createAnnouncement";

const names = ["r-0", "r-1", "r-2"];

function createDirectories(count: number, maxSyncRecords = 2): Directory[] {
  return Array.from(
    { length: count },
    (_, index) => new Directory({ origin: `relay-${index}`, maxSyncRecords }),
  );
}

function pull(from: Directory, to: Directory, nowMs: number): number {
  const response = from.sync(to.createSyncRequest());
  to.apply(response, nowMs);
  return response.records.length;
}

function describe(directory: Directory): unknown {
  return names.map((name) => {
    const record = directory.get(RecordKind.Target, name);
    return record === undefined
      ? null
      : [record.incarnation, record.edit, record.announcement, record.weight];
  });
}

// Guards against a frozen process that resumes after it was replaced, and supersedes its replacement.
t.test("older incarnation is superseded", (t) => {
  const [directory] = createDirectories(1);
  t.ok(directory!.announceTarget(createAnnouncement("r-0", "2"), false, 0).accepted);
  t.same(directory!.announceTarget(createAnnouncement("r-0", "1"), false, 1), {
    accepted: false,
    superseded: true,
    unknown: false,
  });
  t.equal(directory!.get(RecordKind.Target, "r-0")?.incarnation, "2");
  t.ok(directory!.checkHeartbeat(RecordKind.Target, "r-0", "1").superseded);
  t.end();
});

// Guards against a late announcement that restores a process that has left on another relay.
t.test("tombstone outlives the old announcement", (t) => {
  const [first, second] = createDirectories(2) as [Directory, Directory];
  first.announceTarget(createAnnouncement("r-0", "1"), false, 0);
  pull(first, second, 0);
  second.announceTarget(createAnnouncement("r-0", "1"), true, 1);
  pull(second, first, 2);
  t.same(first.targets(), []);
  pull(first, second, 3);
  t.same(second.targets(), []);
  t.ok(first.checkHeartbeat(RecordKind.Target, "r-0", "1").unknown);
  t.end();
});

// Guards against sync traffic that grows with the fleet while nothing changes.
t.test("unchanged records are not sent again", (t) => {
  const [first, second] = createDirectories(2, 1000) as [Directory, Directory];
  for (let index = 0; index < 100; index += 1) {
    first.announceTarget(createAnnouncement(`r-${index}`, "1"), false, 0);
  }
  t.equal(pull(first, second, 0), 100);
  first.announceTarget(createAnnouncement("r-7", "1"), false, 1);
  first.beat(1);
  t.equal(pull(first, second, 1), 0);
  t.equal(second.targets().length, 100);
  t.end();
});

// Guards against relays that never converge after a partition, and against a bounded response after which the
// requesting relay counts changes as applied that were beyond the limit.
t.test("relays converge after any schedule", (t) => {
  const relay = fc.integer({ min: 0, max: 2 });
  const step = fc.oneof(
    fc.record({
      kind: fc.constant("announce"),
      relay,
      other: relay,
      name: fc.integer({ min: 0, max: 2 }),
      incarnation: fc.integer({ min: 1, max: 3 }),
    }),
    fc.record({
      kind: fc.constant("leave"),
      relay,
      other: relay,
      name: fc.integer({ min: 0, max: 2 }),
      incarnation: fc.integer({ min: 1, max: 3 }),
    }),
    fc.record({
      kind: fc.constant("weight"),
      relay,
      other: relay,
      name: fc.integer({ min: 0, max: 2 }),
      incarnation: fc.integer({ min: 1, max: 3 }),
    }),
    fc.record({
      kind: fc.constant("pull"),
      relay,
      other: relay,
      name: fc.constant(0),
      incarnation: fc.constant(0),
    }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const directories = createDirectories(3);
      for (const { kind, relay: index, other, name, incarnation } of steps) {
        const directory = directories[index]!;
        const announcement = createAnnouncement(`r-${name}`, String(incarnation));
        if (kind === "pull") {
          pull(directories[other]!, directory, 0);
        } else if (kind === "weight") {
          directory.setWeight(`r-${name}`, String(incarnation), 0.1, 0);
        } else {
          directory.announceTarget(announcement, kind === "leave", 0);
        }
      }
      for (let round = 0; round < 12; round += 1) {
        for (const from of directories) {
          for (const to of directories) {
            pull(from, to, 0);
          }
        }
      }
      t.same(describe(directories[1]!), describe(directories[0]!));
      t.same(describe(directories[2]!), describe(directories[0]!));
    }),
    { seed: 7, numRuns: 300 },
  );
  t.end();
});

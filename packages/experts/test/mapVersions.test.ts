import t from "tap";
import { MapVersionAllocator } from "../hold/MapVersionAllocator";
import { getExpertsDigest } from "../hold/getExpertsDigest";

// Guards against one version for two maps: a leader cannot see orders of another one that are still being
// carried out.
t.test("leaders of different terms never use the same version", (t) => {
  const [older, newer] = [new MapVersionAllocator(3), new MapVersionAllocator(4)];
  const allocated = [
    older.allocate(0),
    older.allocate(0),
    newer.allocate(0),
    older.allocate(0),
    newer.allocate(0),
  ];
  t.equal(new Set(allocated).size, allocated.length);
  t.notOk(allocated.includes(null));
  t.ok(
    (newer.allocate(0) ?? 0) > (older.allocate(0) ?? 0),
    "ranks reject versions that are not higher than every earlier one",
  );
  t.end();
});

t.test("versions exceed what ranks report", (t) => {
  const versions = new MapVersionAllocator(2);
  const first = versions.allocate(7);
  t.ok((first ?? 0) > 7);
  const reported = (first ?? 0) + 5;
  t.equal(versions.allocate(reported), reported + 1);
  t.end();
});

// Guards against a replaced leader that continues in the range of its successor.
t.test("a leader uses no version of a later term", (t) => {
  const later = new MapVersionAllocator(6).allocate(0);
  const versions = new MapVersionAllocator(5);
  t.not(versions.allocate(0), null);
  t.equal(versions.allocate(later ?? 0), null);
  t.equal(versions.allocate((later ?? 0) - 2), null, "the last version of the term is used up");
  t.end();
});

t.test("a digest depends on the experts, not on their order", (t) => {
  const digest = getExpertsDigest([[1, 12], [3]]);
  t.equal(getExpertsDigest([[12, 1], [3]]), digest);
  t.not(getExpertsDigest([[1, 12], [4]]), digest);
  t.not(getExpertsDigest([[1], [12, 3]]), digest, "guards against experts that moved to another layer set");
  t.end();
});

import t from "tap";
import { MapVersions } from "../hold/MapVersions";
import { getExpertsDigest } from "../hold/getExpertsDigest";

// Guards against one version for two maps: a leader cannot see orders of another one that are still being
// carried out.
t.test("leaders of different terms never use the same version", (t) => {
  const [older, newer] = [new MapVersions(3), new MapVersions(4)];
  const allocated = [older.take(0), older.take(0), newer.take(0), older.take(0), newer.take(0)];
  t.equal(new Set(allocated).size, allocated.length);
  t.notOk(allocated.includes(null));
  t.ok(
    (newer.take(0) ?? 0) > (older.take(0) ?? 0),
    "ranks reject versions that are not higher than every earlier one",
  );
  t.end();
});

t.test("versions exceed what ranks report", (t) => {
  const versions = new MapVersions(2);
  const first = versions.take(7);
  t.ok((first ?? 0) > 7);
  const reported = (first ?? 0) + 5;
  t.equal(versions.take(reported), reported + 1);
  t.end();
});

// Guards against a replaced leader that continues in the range of its successor.
t.test("a leader uses no version of a later term", (t) => {
  const later = new MapVersions(6).take(0);
  const versions = new MapVersions(5);
  t.not(versions.take(0), null);
  t.equal(versions.take(later ?? 0), null);
  t.equal(versions.take((later ?? 0) - 2), null, "the last version of the term is used up");
  t.end();
});

t.test("a digest depends on the experts, not on their order", (t) => {
  const digest = getExpertsDigest([[1, 12], [3]]);
  t.equal(getExpertsDigest([[12, 1], [3]]), digest);
  t.not(getExpertsDigest([[1, 12], [4]]), digest);
  t.not(getExpertsDigest([[1], [12, 3]]), digest, "guards against experts that moved to another layer set");
  t.end();
});

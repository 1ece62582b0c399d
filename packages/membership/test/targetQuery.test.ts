import t from "tap";
import { Directory } from "@clementinemux/membership/Directory";
import { RecordKind } from "@clementinemux/membership/RecordKind";
import { DirectoryQuery } from "@clementinemux/membership/DirectoryQuery";
import { assignSubset } from "@clementinemux/membership/assignSubset";
import { createAnnouncement } from "./createAnnouncement";

function createFleet(): { directory: Directory; query: DirectoryQuery } {
  const directory = new Directory({ origin: "relay/1" });
  for (let index = 0; index < 12; index += 1) {
    const models = [index % 2 === 0 ? "small" : "large"];
    directory.announceTarget(createAnnouncement(`r-${index}`, "1", { models }), false, 0);
  }
  return { directory, query: new DirectoryQuery(directory) };
}

// Guards against lists that are sent again although nothing has changed, and against lost removals.
t.test("only changes are sent", (t) => {
  const { directory, query } = createFleet();
  const first = query.fetchTargets({ since: null });
  t.equal(first.full, true);
  t.equal(first.targets.length, 12);
  const second = query.fetchTargets({ since: first });
  t.match(second, { full: false, targets: [], removed: [] });
  directory.announceTarget(createAnnouncement("r-3", "1"), true, 1);
  directory.setWeight("r-5", "1", 0.1, 1);
  const third = query.fetchTargets({ since: second });
  t.same(third.removed, ["r-3"]);
  t.same(third.weights, { "r-5": 0.1 });
  t.end();
});

// Guards against a delta relative to another relay's version.
t.test("another relay starts a full list", (t) => {
  const { query } = createFleet();
  const first = query.fetchTargets({ since: null });
  t.equal(query.fetchTargets({ since: { ...first, directory: "other/1" } }).full, true);
  t.end();
});

// Guards against skipped targets and an endless exchange when a response reaches its limit.
t.test("bounded responses reach every target", (t) => {
  const { query } = createFleet();
  const seen = new Set<string>();
  let response = query.fetchTargets({ since: null, limit: 5 });
  for (let turn = 0; turn < 3; turn += 1) {
    for (const { target } of response.targets) {
      seen.add(target);
    }
    t.equal(response.more, turn < 2);
    response = query.fetchTargets({ since: response, limit: 5 });
  }
  t.equal(seen.size, 12);
  t.end();
});

// Guards against targets of other models, which the client could not use.
t.test("models filter the list", (t) => {
  const { query } = createFleet();
  const { targets } = query.fetchTargets({ since: null, models: ["large"] });
  t.equal(targets.length, 6);
  t.ok(targets.every(({ models }) => models.includes("large")));
  t.end();
});

// Guards against units that get far more entries than others, against subsets within one failure domain, and
// against subsets that depend on the order of the announcements.
t.test("subsets are balanced and spread", (t) => {
  const units = Array.from({ length: 53 }, (_, index) => ({
    name: `g-${index}`,
    failureDomain: `fd-${index % 15}`,
  }));
  const entries = Array.from({ length: 350 }, (_, index) => `entry-${index}`);
  const assigned = assignSubset(entries, units, 3);
  const loads = new Map<string, number>();
  for (const names of assigned.values()) {
    t.equal(new Set(names.map((name) => Number(name.slice(2)) % 15)).size, 3);
    for (const name of names) {
      loads.set(name, (loads.get(name) ?? 0) + 1);
    }
  }
  t.ok(Math.max(...loads.values()) <= Math.ceil((350 * 3) / 53));
  t.same(assignSubset([...entries].reverse(), [...units].reverse(), 3), assigned);
  t.end();
});

// Guards against a subset that keeps a group after it has gone, or that changes with every restart of a
// target.
t.test("subset follows the fleet", (t) => {
  const { directory, query } = createFleet();
  for (let index = 0; index < 6; index += 1) {
    const location = { url: "http://entry", failureDomain: "fd-1", region: "local", leaving: false };
    directory.announceEntry({ ...location, entry: `entry-${index}`, incarnation: "1" }, 0);
  }
  const subset = { entry: "entry-1", groupCount: 2 };
  const first = query.fetchTargets({ since: null, subset });
  t.equal(first.targets.length, 4);
  const [gone] = first.targets;
  directory.announceTarget({ ...gone!, incarnation: "2" }, false, 1);
  const second = query.fetchTargets({ since: first, subset });
  t.match(second, { full: false, subset: first.subset, targets: [{ incarnation: "2" }] });
  directory.announceTarget({ ...gone!, incarnation: "2" }, true, 2);
  const third = query.fetchTargets({ since: second, subset });
  t.equal(third.full, true);
  t.equal(third.targets.length, 4);
  t.notOk(third.targets.some(({ target }) => target === gone!.target));
  t.end();
});

// Guards against entries that get only a few targets of a small fleet.
t.test("small fleet is listed completely", (t) => {
  const directory = new Directory({ origin: "relay/1" });
  const location = { url: "", failureDomain: "fd-1", region: "r", leaving: false };
  directory.announceEntry({ entry: "entry-1", incarnation: "1", ...location }, 0);
  for (let index = 0; index < 16; index += 1) {
    directory.announceTarget(createAnnouncement(`r-${index}`, "1", { models: ["demo"] }), false, 0);
  }
  const query = new DirectoryQuery(directory);
  const subset = { entry: "entry-1", groupCount: 3, allUpTo: 16 };
  t.equal(query.fetchTargets({ since: null, subset }).targets.length, 16);
  directory.announceTarget(createAnnouncement("r-16", "1", { models: ["demo"] }), false, 1);
  t.equal(query.fetchTargets({ since: null, subset }).targets.length, 3);
  t.end();
});

// Guards against the full list of entries in every response, and against lost changes and removals.
t.test("only changed entries are sent", (t) => {
  const directory = new Directory({ origin: "relay/1" });
  const query = new DirectoryQuery(directory);
  const announcement = { incarnation: "1", url: "", failureDomain: "fd-1", region: "r", leaving: false };
  for (const entry of ["e-1", "e-2", "e-3"]) {
    directory.announceEntry({ entry, ...announcement }, 0);
  }
  const first = query.fetchEntries({ since: null });
  t.match(first, { full: true, removed: [] });
  t.equal(first.entries.length, 3);
  directory.announceEntry({ entry: "e-1", ...announcement }, 1);
  const second = query.fetchEntries({ since: first });
  t.match(second, { full: false, entries: [], removed: [] });
  directory.announceEntry({ entry: "e-2", ...announcement, leaving: true }, 2);
  directory.remove(RecordKind.Entry, "e-3", "1", 2);
  const third = query.fetchEntries({ since: second });
  t.match(third, { full: false, entries: [{ entry: "e-2", leaving: true }], removed: ["e-3"] });
  t.equal(third.entries.length, 1);
  t.equal(query.fetchEntries({ since: { ...third, directory: "relay/2" } }).full, true);
  t.end();
});

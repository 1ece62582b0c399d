import t from "tap";
import type { RankHosting } from "@clementinemux/experts/hold/RankHosting";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";
import { getHostingDigest } from "@clementinemux/experts/hold/getHostingDigest";

const layerSets = 12;
const ranks = 72;
const expertsPerSet = 216;

function createHosting(): number[][][] {
  const hosting = createRoundRobinHosting(layerSets, expertsPerSet, ranks);
  return hosting.map((set) => set.map((experts) => [...experts]));
}

// Guards against digests that differ between processes, so that one map appears as two.
t.test("equal placements have equal digests", (t) => {
  const sent = JSON.parse(JSON.stringify(createHosting())) as RankHosting;
  t.equal(getHostingDigest(sent), getHostingDigest(createHosting()));
  t.equal(getHostingDigest([[[0, 2], [1]]]), "9fda68fd");
  t.end();
});

// Guards against two maps with one version that cannot be distinguished in the logs.
t.test("one expert on another rank changes the digest", (t) => {
  const digests = new Set([getHostingDigest(createHosting())]);
  for (let set = 0; set < layerSets; set += 1) {
    for (let rank = 1; rank < ranks; rank += 1) {
      const hosting = createHosting();
      hosting[set]![rank]!.push(...hosting[set]![0]!.splice(0, 1));
      digests.add(getHostingDigest(hosting));
    }
  }
  t.equal(digests.size, 1 + layerSets * (ranks - 1));
  t.end();
});

// Guards against digests of other lengths, which a pattern search would miss.
t.test("a digest has eight digits", (t) => {
  const digests = Array.from({ length: 1000 }, (_, expert) => getHostingDigest([[[expert]]]));
  t.same(
    digests.filter((digest) => !/^[0-9a-f]{8}$/.test(digest)),
    [],
  );
  t.ok(
    digests.some((digest) => digest.startsWith("0")),
    "short hashes are among them",
  );
  t.end();
});

import t from "tap";
import { steerStreams } from "@clementinemux/experts/planner/steerStreams";

/** Group of two ranks; each listed expert is replicated on both. */
function createGroup(replicated: number) {
  const hosts = [0, 1, 2, 3].map((expert) => (expert === replicated ? [0, 1] : [expert % 2]));
  const shares = hosts.map((ranks) => ranks.map(() => 1 / ranks.length));
  return { map: { version: 1, layers: [{ hosts, shares }] }, rankCount: 2 };
}

// Guards against steering that ignores which map suits a profile, and against shares that do not sum to 1.
t.test("streams go where their experts are replicated", (t) => {
  const streams = [
    { name: "a", loads: [Float64Array.from([100, 10, 10, 10])], shares: [0.5, 0.5] },
    { name: "b", loads: [Float64Array.from([10, 100, 10, 10])], shares: [0.5, 0.5] },
  ];
  const shares = steerStreams([createGroup(0), createGroup(1)], streams);
  t.ok((shares[0]?.[0] ?? 0) > 0.8, String(shares[0]));
  t.ok((shares[1]?.[1] ?? 0) > 0.8, String(shares[1]));
  for (const row of shares) {
    t.ok(
      Math.abs(row.reduce((sum, share) => sum + share, 0) - 1) < 1e-9 && row.every((share) => share > -1e-9),
    );
  }
  t.end();
});

// Guards against overloading one group because its map suits every stream.
t.test("equal profiles stay divided", (t) => {
  const loads = [Float64Array.from([10, 10, 10, 10])];
  const streams = [{ name: "a", loads, shares: [1, 0] }];
  const [shares] = steerStreams([createGroup(0), createGroup(0)], streams);
  t.ok(Math.abs((shares?.[0] ?? 0) - 0.5) < 0.11, String(shares));
  t.end();
});

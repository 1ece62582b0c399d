import type { ExpertMap } from "../ExpertMap";
import type { PlanInput } from "../planner/PlanInput";
import { planMap } from "../planner/planMap";
import { MapPolicyName } from "./MapPolicyName";
import { createContiguousMap } from "./createContiguousMap";
import { createGreedyMap } from "./createGreedyMap";

interface MapPolicy {
  /** Time between two plans. */
  readonly intervalMs: number;
  /** Next map; the present object when nothing changes. */
  readonly getNextMap: (input: PlanInput) => ExpertMap;
}

const minuteMs = 60_000;

function planMovesOnly(input: PlanInput): ExpertMap {
  const { map, bytes } = planMap(input);
  if (bytes === 0) {
    return input.present;
  }
  const layers = map.layers.map(({ hosts }) => ({
    hosts,
    shares: hosts.map((ranks) => ranks.map(() => 1 / ranks.length)),
  }));
  return { ...map, layers };
}

export const mapPolicies: Readonly<Record<MapPolicyName, MapPolicy>> = {
  [MapPolicyName.None]: { intervalMs: Number.POSITIVE_INFINITY, getNextMap: ({ present }) => present },
  [MapPolicyName.Contiguous]: {
    intervalMs: Number.POSITIVE_INFINITY,
    getNextMap: ({ shape, present }) => createContiguousMap(shape, present.version + 1),
  },
  [MapPolicyName.Greedy]: {
    intervalMs: 10 * minuteMs,
    getNextMap: ({ shape, loads, present }) => createGreedyMap(shape, loads, present.version + 1),
  },
  [MapPolicyName.Planner]: { intervalMs: 2 * minuteMs, getNextMap: (input) => planMap(input).map },
  [MapPolicyName.SplitOnly]: {
    intervalMs: 2 * minuteMs,
    getNextMap: (input) => planMap({ ...input, maxBytes: 0 }).map,
  },
  [MapPolicyName.MovesOnly]: { intervalMs: 2 * minuteMs, getNextMap: planMovesOnly },
};

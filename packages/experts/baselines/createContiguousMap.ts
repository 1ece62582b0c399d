import type { ExpertMap } from "../ExpertMap";
import type { GroupShape } from "../GroupShape";

/** Creates the static map that gives each rank the same number of consecutive experts, without replicas. */
export function createContiguousMap(shape: GroupShape, version: number): ExpertMap {
  const perRank = Math.ceil(shape.expertCount / shape.rankCount);
  const hosts = Array.from({ length: shape.expertCount }, (_, expert) => [Math.floor(expert / perRank)]);
  const shares = hosts.map(() => [1]);
  return { version, layers: Array.from({ length: shape.layerCount }, () => ({ hosts, shares })) };
}

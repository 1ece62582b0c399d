import type { ExpertMap } from "../ExpertMap";
import type { GroupShape } from "../GroupShape";
import type { LayerMap } from "../LayerMap";

function countReplicas(shape: GroupShape, loads: ArrayLike<number>): number[] {
  const replicas = new Array<number>(shape.expertCount).fill(1);
  const spareSlots = shape.rankCount * shape.slotsPerRank - shape.expertCount;
  for (let spare = 0; spare < spareSlots; spare += 1) {
    let hottest = -1;
    let hottestLoad = -1;
    for (const [expert, count] of replicas.entries()) {
      const load = (loads[expert] ?? 0) / count;
      if (count < shape.rankCount && load > hottestLoad) {
        hottest = expert;
        hottestLoad = load;
      }
    }
    if (hottest < 0) {
      return replicas;
    }
    replicas[hottest] = (replicas[hottest] ?? 0) + 1;
  }
  return replicas;
}

function findLightestRank(
  shape: GroupShape,
  rankLoads: readonly number[],
  usedSlots: readonly number[],
  hosts: readonly number[],
): number {
  let lightest = -1;
  for (let rank = 0; rank < shape.rankCount; rank += 1) {
    const isFree = (usedSlots[rank] ?? 0) < shape.slotsPerRank && !hosts.includes(rank);
    if (isFree && (lightest < 0 || (rankLoads[rank] ?? 0) < (rankLoads[lightest] ?? 0))) {
      lightest = rank;
    }
  }
  return lightest;
}

function createGreedyLayer(shape: GroupShape, loads: ArrayLike<number>): LayerMap {
  const replicas = countReplicas(shape, loads);
  const order = replicas
    .map((count, expert) => ({ expert, count, load: (loads[expert] ?? 0) / count }))
    .sort((left, right) => right.load - left.load || left.expert - right.expert);
  const rankLoads = new Array<number>(shape.rankCount).fill(0);
  const usedSlots = new Array<number>(shape.rankCount).fill(0);
  const hosts = replicas.map((): number[] => []);
  for (const { expert, count, load } of order) {
    const expertHosts = hosts[expert] ?? [];
    for (let replica = 0; replica < count; replica += 1) {
      const rank = findLightestRank(shape, rankLoads, usedSlots, expertHosts);
      // A late replica may have free slots only on ranks that already hold the expert; it is then skipped.
      if (rank >= 0) {
        expertHosts.push(rank);
        rankLoads[rank] = (rankLoads[rank] ?? 0) + load;
        usedSlots[rank] = (usedSlots[rank] ?? 0) + 1;
      }
    }
  }
  return { hosts, shares: hosts.map((ranks) => ranks.map(() => 1 / ranks.length)) };
}

/**
 * Creates a map independently of the present one. Spare slots go to the experts with the highest load per
 * replica; then the replicas are placed in descending order of load, each on the least loaded rank, with an
 * equal split.
 */
export function createGreedyMap(
  shape: GroupShape,
  loads: readonly ArrayLike<number>[],
  version: number,
): ExpertMap {
  return { version, layers: loads.map((layer) => createGreedyLayer(shape, layer)) };
}

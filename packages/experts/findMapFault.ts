import type { ExpertMap } from "./ExpertMap";
import type { GroupShape } from "./GroupShape";
import type { LayerMap } from "./LayerMap";
import { MapFault } from "./MapFault";

// Shares are computed by division, so their sum can differ from 1 by rounding.
const shareTolerance = 1e-6;

function areSharesValid(shares: readonly number[], hostCount: number): boolean {
  const total = shares.reduce((sum, share) => sum + share, 0);
  return (
    shares.length === hostCount &&
    shares.every((share) => share >= 0 && Number.isFinite(share)) &&
    Math.abs(total - 1) <= shareTolerance
  );
}

function findLayerFault(shape: GroupShape, layer: LayerMap): MapFault | null {
  if (layer.hosts.length !== shape.expertCount || layer.shares.length !== shape.expertCount) {
    return MapFault.ExpertCount;
  }
  const usedSlots = new Array<number>(shape.rankCount).fill(0);
  for (const [expert, hosts] of layer.hosts.entries()) {
    if (hosts.length === 0) {
      return MapFault.ExpertMissing;
    }
    if (new Set(hosts).size !== hosts.length) {
      return MapFault.ReplicaRepeated;
    }
    for (const rank of hosts) {
      const used = usedSlots[rank];
      if (used === undefined) {
        return MapFault.RankUnknown;
      }
      usedSlots[rank] = used + 1;
    }
    if (!areSharesValid(layer.shares[expert] ?? [], hosts.length)) {
      return MapFault.SharesInvalid;
    }
  }
  return usedSlots.some((used) => used > shape.slotsPerRank) ? MapFault.SlotsExceeded : null;
}

/** Returns the first fault of a map, or null if the map is valid. */
export function findMapFault(shape: GroupShape, map: ExpertMap): MapFault | null {
  if (map.layers.length !== shape.layerCount) {
    return MapFault.LayerCount;
  }
  for (const layer of map.layers) {
    const fault = findLayerFault(shape, layer);
    if (fault !== null) {
      return fault;
    }
  }
  return null;
}

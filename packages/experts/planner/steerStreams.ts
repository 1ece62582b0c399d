import type { ExpertMap } from "../ExpertMap";
import type { SteeringStream } from "./SteeringStream";
import { computeRankLoads } from "../computeRankLoads";

interface SteeringGroup {
  readonly map: ExpertMap;
  readonly rankCount: number;
}

// A step of a tenth is fine enough, since entries choose groups at random by weight.
const partShare = 0.1;
// A gain below this share of the total is within the noise of the profiles.
const minGainShare = 0.002;
const maxRounds = 50;

/** Step time of a group for the loads of its streams. */
function getStepTime({ map, rankCount }: SteeringGroup, loads: readonly Float64Array[]): number {
  return map.layers.reduce(
    (sum, layer, index) => sum + Math.max(...computeRankLoads(layer, loads[index] ?? [], rankCount)),
    0,
  );
}

function addLoads(
  loads: readonly Float64Array[],
  stream: readonly Float64Array[],
  share: number,
): Float64Array[] {
  return loads.map((layer, index) =>
    layer.map((load, expert) => load + share * (stream[index]?.[expert] ?? 0)),
  );
}

function square(time: number): number {
  return time * time;
}

/**
 * Divides streams among groups that serve the same model, without moving weights. Minimizes the sum of the
 * squared step times of the groups; the squares prevent that a group gets overloaded because its map suits
 * many streams. Returns the share of each stream for each group.
 */
export function steerStreams(
  groups: readonly SteeringGroup[],
  streams: readonly SteeringStream[],
): number[][] {
  const shares = streams.map((stream) => [...stream.shares]);
  const loads = groups.map(({ map }, group) =>
    streams.reduce<Float64Array[]>(
      (sum, stream) => addLoads(sum, stream.loads, stream.shares[group] ?? 0),
      map.layers.map(({ hosts }) => new Float64Array(hosts.length)),
    ),
  );
  const times = groups.map((group, index) => getStepTime(group, loads[index] ?? []));
  const total = times.reduce((sum, time) => sum + square(time), 0);

  /** Moves one part of a stream if this lowers the objective enough. */
  const tryMove = (stream: number, from: number, to: number): boolean => {
    const source = groups[from];
    const destination = groups[to];
    const profile = streams[stream]?.loads ?? [];
    const streamShares = shares[stream];
    const part = Math.min(partShare, streamShares?.[from] ?? 0);
    if (source === undefined || destination === undefined || streamShares === undefined || part <= 0) {
      return false;
    }
    const fromLoads = addLoads(loads[from] ?? [], profile, -part);
    const toLoads = addLoads(loads[to] ?? [], profile, part);
    const fromTime = getStepTime(source, fromLoads);
    const toTime = getStepTime(destination, toLoads);
    const before = square(times[from] ?? 0) + square(times[to] ?? 0);
    if (before - square(fromTime) - square(toTime) <= minGainShare * total) {
      return false;
    }
    loads[from] = fromLoads;
    loads[to] = toLoads;
    times[from] = fromTime;
    times[to] = toTime;
    streamShares[from] = (streamShares[from] ?? 0) - part;
    streamShares[to] = (streamShares[to] ?? 0) + part;
    return true;
  };

  for (let round = 0; round < maxRounds; round += 1) {
    let hasMoved = false;
    for (const stream of streams.keys()) {
      for (const from of groups.keys()) {
        for (const to of groups.keys()) {
          hasMoved = (from !== to && tryMove(stream, from, to)) || hasMoved;
        }
      }
    }
    if (!hasMoved) {
      break;
    }
  }
  return shares;
}

import type { ExpertMap } from "../ExpertMap";
import type { GroupShape } from "../GroupShape";
import type { ExpertMove } from "./ExpertMove";

/**
 * Lists the transfers of weights that the next map needs and the ranks lack; they run one after the other.
 */
export function listMoves(
  shape: GroupShape,
  present: ExpertMap,
  next: ExpertMap,
  storeBytesPerS: number,
): ExpertMove[] {
  const moves: ExpertMove[] = [];
  const durationMs = (shape.expertBytes / storeBytesPerS) * 1000;
  for (const [layer, { hosts }] of next.layers.entries()) {
    const presentHosts = present.layers[layer]?.hosts;
    for (const [expert, ranks] of hosts.entries()) {
      for (const toRank of ranks) {
        if (presentHosts?.[expert]?.includes(toRank) !== true) {
          const startMs = moves.length * durationMs;
          moves.push({ layer, expert, toRank, sizeBytes: shape.expertBytes, startMs, durationMs });
        }
      }
    }
  }
  return moves;
}

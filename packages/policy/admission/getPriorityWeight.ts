/** Share of a service's capacity that lower priorities keep while more urgent requests wait. */
const lowerShare = 1 / 20;
/** Priorities above this share a weight, so that the tags of the fair queue stay exact. */
const maxPriority = 5;

/** Weight of a priority in the fair queue: all less urgent ones together get a twentieth of the capacity. */
export function getPriorityWeight(priority: number): number {
  return lowerShare ** Math.min(maxPriority, Math.max(0, priority));
}

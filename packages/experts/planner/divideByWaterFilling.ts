/**
 * Divides a load among ranks so that the highest resulting time is minimal (water filling). `baseLoads` are
 * the loads without it, `speeds` the work per unit of time; each rank's part is written to `parts`. Only the
 * first `count` entries of the arrays are used. Takes O(count^2) time, which is small for the few replicas of
 * an expert.
 */
export function divideByWaterFilling(
  load: number,
  baseLoads: Float64Array,
  speeds: Float64Array,
  parts: Float64Array,
  count: number,
): void {
  // Removes ranks above the level one by one, until all remaining ranks get a part that is not negative.
  parts.fill(-1, 0, count);
  for (;;) {
    let sumLoad = load;
    let sumSpeed = 0;
    for (let index = 0; index < count; index += 1) {
      if (parts[index] !== 0) {
        sumLoad += baseLoads[index] ?? 0;
        sumSpeed += speeds[index] ?? 1;
      }
    }
    const level = sumLoad / sumSpeed;
    let worst = -1;
    let worstTime = level;
    for (let index = 0; index < count; index += 1) {
      const time = (baseLoads[index] ?? 0) / (speeds[index] ?? 1);
      if (parts[index] !== 0 && time > worstTime) {
        worst = index;
        worstTime = time;
      }
    }
    if (worst < 0) {
      for (let index = 0; index < count; index += 1) {
        if (parts[index] !== 0) {
          parts[index] = Math.max(0, level * (speeds[index] ?? 1) - (baseLoads[index] ?? 0));
        }
      }
      return;
    }
    parts[worst] = 0;
  }
}

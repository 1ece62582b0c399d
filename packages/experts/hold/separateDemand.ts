/** Load of an expert against the mean of its layer set from which on its loss tells how much demand is new. */
const hotFactor = 3;
/** Share of new demand below which the new part cannot be told from noise. */
const leastShare = 0.3;

/**
 * Splits choices that were made partly before and partly after a shift of demand. An expert that was hot and is hardly
 * chosen any more tells which share of the choices follows the old demand; that share is taken off. Loads are given by
 * layer set and expert, in any unit. Null when no hot expert has lost enough of its demand.
 */
export function separateDemand(
  before: readonly Float64Array[],
  mixed: readonly Float64Array[],
): Float64Array[] | null {
  const oldShares = before.flatMap((loads, set) => listOldShares(loads, mixed[set] ?? new Float64Array(0)));
  const oldShare = Math.min(1, ...oldShares);
  if (1 - oldShare < leastShare) {
    return null;
  }
  return mixed.map((loads, set) => {
    const old = before[set] ?? new Float64Array(0);
    const scale = (oldShare * getSum(loads)) / Math.max(1, getSum(old));
    return loads.map((load, expert) => Math.max(0, load - scale * (old[expert] ?? 0)));
  });
}

/** How much of its former share of the choices each hot expert has kept. */
function listOldShares(before: Float64Array, mixed: Float64Array): number[] {
  const beforeSum = getSum(before);
  const mixedSum = getSum(mixed);
  if (beforeSum === 0 || mixedSum === 0) {
    return [];
  }
  return [...before.entries()]
    .filter(([, load]) => load * before.length > hotFactor * beforeSum)
    .map(([expert, load]) => (mixed[expert] ?? 0) / mixedSum / (load / beforeSum));
}

function getSum(loads: Float64Array): number {
  return loads.reduce((sum, load) => sum + load, 0);
}

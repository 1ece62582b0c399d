/** Load of an expert against the mean of its layer set from which on its loss tells how much demand is new. */
const hotFactor = 3;
/** Share of new demand below which the separation would multiply the noise of the choices. */
const leastShare = 0.5;
/** Of the hot experts, sorted by what they kept, the one that tells; a single one may have lost its demand by chance. */
const tellingQuantile = 0.25;

/**
 * Splits choices that were made partly before and partly after a shift of demand. Experts that were hot and are hardly
 * chosen any more tell which share of the choices follows the old demand; that share is taken off. Loads are given by
 * layer set and expert, in any unit. Null when the hot experts have not lost enough of their demand.
 */
export function separateDemand(
  before: readonly Float64Array[],
  mixed: readonly Float64Array[],
): Float64Array[] | null {
  const oldShares = before.flatMap((loads, set) => listOldShares(loads, mixed[set] ?? new Float64Array(0)));
  oldShares.sort((left, right) => left - right);
  const oldShare = oldShares[Math.floor(oldShares.length * tellingQuantile)] ?? 1;
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

/**
 * Experts with at least this multiple of their layer set's mean load show by their loss how much demand is
 * new.
 */
const hotFactor = 3;
/** With a smaller share of new demand, the separation would amplify the noise of the choices. */
const minNewShare = 0.5;
/**
 * Quantile of the shares kept by the hot experts; the lowest is not used since one expert may lose demand by
 * chance.
 */
const keptShareQuantile = 0.25;

/**
 * Removes the old demand from a sample that spans a shift of demand. The experts that were hot and are now
 * rarely chosen show which share of the sample follows the old demand; that share is subtracted. Loads are by
 * layer set and expert, in any unit. Null when the hot experts have not lost enough of their demand.
 */
export function removeOldDemand(
  before: readonly Float64Array[],
  mixed: readonly Float64Array[],
): Float64Array[] | null {
  const keptShares = before.flatMap((loads, set) => listKeptShares(loads, mixed[set] ?? new Float64Array(0)));
  keptShares.sort((left, right) => left - right);
  const oldShare = keptShares[Math.floor(keptShares.length * keptShareQuantile)] ?? 1;
  if (1 - oldShare < minNewShare) {
    return null;
  }
  return mixed.map((loads, set) => {
    const old = before[set] ?? new Float64Array(0);
    const scale = (oldShare * getSum(loads)) / Math.max(1, getSum(old));
    return loads.map((load, expert) => Math.max(0, load - scale * (old[expert] ?? 0)));
  });
}

/** For each hot expert, its share of the choices now divided by its share before. */
function listKeptShares(before: Float64Array, mixed: Float64Array): number[] {
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

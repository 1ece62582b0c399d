/** Standard deviations above the mean that an estimate allows for, so that few requests are rejected in error. */
const deviations = 2;

/**
 * Most slots that are likely to become free in a time, if `mean` are expected and they end independently. A request
 * behind more requests than this cannot get one of them.
 */
export function estimateMaxFreed(mean: number): number {
  return mean + deviations * Math.sqrt(mean) + 1;
}

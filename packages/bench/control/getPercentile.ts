/** Returns the percentile for `share` by the nearest-rank method, rounded to two decimals. */
export function getPercentile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((left, right) => left - right);
  const value = sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
  return Math.round(value * 100) / 100;
}

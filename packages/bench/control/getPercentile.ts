/** Value below which the share of the samples lies, by nearest rank. */
export function getPercentile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((left, right) => left - right);
  const value = sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
  return Math.round(value * 100) / 100;
}

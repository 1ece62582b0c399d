/** Largest number of arrivals in a sliding window. `arrivals` are in order. */
export function findMaxWindow(arrivals: readonly number[], windowMs: number): number {
  let from = 0;
  let most = 0;
  for (const [index, atMs] of arrivals.entries()) {
    while (atMs - (arrivals[from] ?? 0) > windowMs) {
      from += 1;
    }
    most = Math.max(most, index - from + 1);
  }
  return most;
}

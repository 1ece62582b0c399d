import type { Random } from "@clementinemux/common/Random";

/** Draws a Poisson token count for each share, by the normal approximation. */
export function sampleTokens(shares: Float64Array, tokenCount: number, random: Random): Float64Array {
  return shares.map((share) => {
    const mean = share * tokenCount;
    // The sum of four uniform numbers approximates a normal distribution; its variance is 1/3.
    const normal = (random() + random() + random() + random() - 2) * Math.sqrt(3);
    return Math.max(0, Math.round(mean + normal * Math.sqrt(mean)));
  });
}

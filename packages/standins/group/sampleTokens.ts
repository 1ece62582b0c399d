import type { Random } from "@clementinemux/common/Random";

/** Draws token counts around their expectation: Poisson counts, by their normal approximation. */
export function sampleTokens(shares: Float64Array, tokenCount: number, random: Random): Float64Array {
  return shares.map((share) => {
    const mean = share * tokenCount;
    // The sum of four uniform numbers is close enough to a normal one; its variance is 1/3.
    const normal = (random() + random() + random() + random() - 2) * Math.sqrt(3);
    return Math.max(0, Math.round(mean + normal * Math.sqrt(mean)));
  });
}

/** Speeds of ranks that are all healthy. */
export function createUniformSpeeds(rankCount: number): Float64Array {
  return new Float64Array(rankCount).fill(1);
}

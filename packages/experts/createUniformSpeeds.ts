/** Speeds of a group in which all ranks are healthy. */
export function createUniformSpeeds(rankCount: number): Float64Array {
  return new Float64Array(rankCount).fill(1);
}

/**
 * What a cold target may get in any second: `excess` times the rate that it can take, and `slack` requests more.
 */
export interface ColdBounds {
  readonly excess: number;
  readonly slack: number;
}

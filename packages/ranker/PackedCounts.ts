/** Choices of the experts, as an answer carries them. */
export interface PackedCounts {
  /** Names this answer; unique within a life of the sender. */
  readonly id: number;
  /** Answer that the differences count from; null when the numbers are whole. */
  readonly base: number | null;
  /** Numbers in units of choices, seven bits to a byte, the lowest first. */
  readonly bytes: Uint8Array;
}

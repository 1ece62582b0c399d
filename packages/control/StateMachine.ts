/** Deterministic state built from the committed commands of a log group. */
export interface StateMachine {
  /** Applies a command and returns its result. Must neither throw nor read a clock. */
  apply(command: unknown): unknown;
  createSnapshot(): Uint8Array;
  restore(snapshot: Uint8Array): void;
}

/**
 * A rank armed for a version does not start step `beforeStep` before it has received the decision on the
 * version.
 */
export interface ArmedMap {
  readonly version: number;
  /** Epoch of the leader that prepared and armed the version. */
  readonly epoch: number;
  readonly beforeStep: number;
}

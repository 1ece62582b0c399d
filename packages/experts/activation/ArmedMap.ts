/** Promise of a rank not to start a step before it has heard the decision about a version. */
export interface ArmedMap {
  readonly version: number;
  /** Epoch of the lead that prepared and armed the version. */
  readonly epoch: number;
  readonly beforeStep: number;
}

/** Current leader of a rank group, and the decisions about its maps. */
export interface GroupLeaseRecord {
  readonly holder: string;
  readonly incarnation: string;
  readonly epoch: number;
  /** Highest decided map version; 0 when there is none. */
  readonly mapVersion: number;
  /**
   * First and last of each run of activated versions, oldest first. Other versions up to the highest are
   * aborted.
   */
  readonly activated: readonly (readonly [first: number, last: number])[];
  /** Decisions below this version are no longer stored. */
  readonly heldFrom: number;
}

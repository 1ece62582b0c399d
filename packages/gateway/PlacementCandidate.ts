/** A target that could take a request. */
export interface PlacementCandidate {
  readonly id: string;
  readonly slots: number;
  /** Requests in flight at it, of all entries. */
  readonly load: number;
  /** Preference by its record, up to 1. */
  readonly weight: number;
  /** Whether it is in the entry's own failure domain. */
  readonly isNear: boolean;
}

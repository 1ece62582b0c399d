/** Number of live targets, the base of the shares of a mass suspicion. */
export interface FleetCounts {
  readonly fleetCount: number;
  readonly countByDomain: ReadonlyMap<string, number>;
}

/** Numbers of live targets, of which a mass suspicion is a share. */
export interface FleetCounts {
  readonly fleetCount: number;
  readonly countByDomain: ReadonlyMap<string, number>;
}

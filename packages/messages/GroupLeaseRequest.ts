/** Body of `groupLease`: acquires or renews the leader lease of a rank group. */
export interface GroupLeaseRequest {
  readonly group: string;
  readonly holder: string;
  readonly incarnation: string;
}

/** Body of `groupLease`: asks to become, or stay, the lead of a rank group. */
export interface GroupLeaseRequest {
  readonly group: string;
  readonly holder: string;
  readonly incarnation: string;
}

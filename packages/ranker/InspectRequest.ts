/** Question of a lead to the process beside a rank. */
export interface InspectRequest {
  /** Term of the lead; a lower one than was seen before is refused. */
  readonly fence: number;
  readonly withExperts: boolean;
}

/** Where a member of a log group is reached. */
export interface Member {
  /** Name of the process, for display. */
  readonly name: string;
  /** `host:port` of its frame listener. */
  readonly address: string;
}

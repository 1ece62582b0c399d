/** Name and address of a member of a Raft group. */
export interface Member {
  /** Name of the process, for display. */
  readonly name: string;
  /** Frame address (`host:port`). */
  readonly address: string;
}

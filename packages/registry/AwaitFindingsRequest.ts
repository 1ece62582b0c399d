/** A gateway asks its coordinator to answer as soon as the findings on crashes differ from those that it has. */
export interface AwaitFindingsRequest {
  /** Revision of the findings that the gateway has, as the coordinator named it; empty if none. */
  readonly revision: string;
}

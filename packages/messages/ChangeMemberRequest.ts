/** Body of `changeMember`: adds, promotes or removes one member of a log group. */
export interface ChangeMemberRequest {
  readonly group: string;
  readonly action: "add_learner" | "promote" | "remove";
  /** `host:port` of the process to add; unused otherwise. */
  readonly address?: string | undefined;
  /** Replica to promote or remove; unused otherwise. */
  readonly replicaId?: string | undefined;
}

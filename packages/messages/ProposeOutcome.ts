/** Outcomes of a proposed change. */
export enum ProposeOutcome {
  Accepted = "accepted",
  Conflict = "conflict",
  RequestIdReused = "request_id_reused",
  Invalid = "invalid",
}

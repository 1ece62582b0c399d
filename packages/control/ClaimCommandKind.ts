/** Kinds of commands of a claim group's log. */
export enum ClaimCommandKind {
  Claim = "claim",
  Complete = "complete",
  Cancel = "cancel",
}

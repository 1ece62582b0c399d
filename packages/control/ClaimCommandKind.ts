/** Kinds of commands in the log of a claim group. */
export enum ClaimCommandKind {
  Claim = "claim",
  Complete = "complete",
  Cancel = "cancel",
}

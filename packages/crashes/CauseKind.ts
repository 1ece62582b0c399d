/** What may make a target crash. */
export enum CauseKind {
  /** A shared part of prompts. */
  Part = "part",
  Request = "request",
}

/** Durable decision about a map version. */
export enum MapDecision {
  Activate = "activate",
  Abort = "abort",
}

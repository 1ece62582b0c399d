/** Phases of inference that an engine runs. */
export enum TargetRole {
  Prefill = "prefill",
  Decode = "decode",
  Both = "both",
}

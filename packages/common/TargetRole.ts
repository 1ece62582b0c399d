/** Part of the inference that an engine accepts. */
export enum TargetRole {
  Prefill = "prefill",
  Decode = "decode",
  Both = "both",
}

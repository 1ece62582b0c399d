import type { Stamp } from "./Stamp";
import { AgentRefusal } from "./AgentRefusal";

/** Judges an echoed stamp by the agent's own clock. Returns null when it is good. */
export function checkStamp(
  stamp: Stamp | null,
  incarnation: string,
  nowMs: number,
  maxAgeMs: number,
): AgentRefusal | null {
  if (stamp === null) {
    return AgentRefusal.StampMissing;
  }
  if (stamp.incarnation !== incarnation) {
    return AgentRefusal.StampOfOtherIncarnation;
  }
  return nowMs - stamp.issuedAtMs > maxAgeMs ? AgentRefusal.StampTooOld : null;
}

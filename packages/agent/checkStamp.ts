import type { Stamp } from "./Stamp";
import { AgentRefusal } from "./AgentRefusal";

/** Checks an echoed stamp against the agent's own clock. Returns null when the stamp is valid. */
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

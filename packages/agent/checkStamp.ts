import type { Stamp } from "./Stamp";
import { StampRefusal } from "./StampRefusal";

/** Judges an echoed stamp by the agent's own clock. Returns null when it is good. */
export function checkStamp(
  stamp: Stamp | null,
  incarnation: string,
  nowMs: number,
  maxAgeMs: number,
): StampRefusal | null {
  if (stamp === null) {
    return StampRefusal.Missing;
  }
  if (stamp.incarnation !== incarnation) {
    return StampRefusal.OtherIncarnation;
  }
  return nowMs - stamp.issuedAtMs > maxAgeMs ? StampRefusal.TooOld : null;
}
